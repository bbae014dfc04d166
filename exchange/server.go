package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// Server answers other processes.
type Server struct {
	Service Service
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	handle(r, pathSubmit, func(ctx context.Context, m *wire.ExchangeSubmit) proto.Message {
		return answer("", 0, s.Service.SubmitLocal(ctx, int(m.GetDocket()), m.GetJob()))
	})
	handle(r, pathState, func(ctx context.Context, m *wire.ExchangeJob) proto.Message {
		state, err := s.Service.StateLocal(ctx, int(m.GetDocket()), m.GetJob())
		return answer(string(state), 0, err)
	})
	handle(r, pathCancel, func(ctx context.Context, m *wire.ExchangeJob) proto.Message {
		return answer("", 0, s.Service.CancelLocal(ctx, int(m.GetDocket()), m.GetJob()))
	})
	handle(r, pathWaiting, func(ctx context.Context, m *wire.ExchangeQueue) proto.Message {
		waiting, err := s.Service.WaitingLocal(ctx, int(m.GetDocket()), m.GetQueue())
		return answer("", waiting, err)
	})
	handle(r, pathHello, s.hello)
	handle(r, pathYield, func(_ context.Context, m *wire.ExchangeYield) proto.Message {
		if s.Service.HandleTakeoverRequest(int(m.GetDocket()), m.GetEpoch()) {
			return answer("", 0, nil)
		}
		return answer("", 0, &cell.Refused{Reason: "the store does not answer here either"})
	})
	handle(r, pathAdvise, s.advise)
	return r
}

func (s *Server) hello(ctx context.Context, m *wire.ExchangeHello) proto.Message {
	h := Hello{
		Name: m.GetProcess(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Cores: m.GetCores(),
	}
	for _, d := range m.GetHelps() {
		h.AdvisedDockets = append(h.AdvisedDockets, int(d))
	}
	w, err := s.Service.HandleHello(ctx, h, decodeOwners(m.GetOwners()))
	if err != nil {
		return &wire.ExchangeWelcome{}
	}
	out := &wire.ExchangeWelcome{Owners: encodeOwners(w.Owners)}
	for _, p := range w.Peers {
		out.Peers = append(out.Peers, &wire.ExchangePeer{Address: p.Address, Cores: p.Cores})
	}
	return out
}

func (s *Server) advise(ctx context.Context, m *wire.ExchangeAdvise) proto.Message {
	id, err := docket.ParseTaskID(m.GetStep() + ".0")
	if err != nil {
		return &wire.ExchangePermits{Busy: true}
	}
	permits, err := s.Service.Advise(ctx, id.StepID(), m.GetWorkers())
	if err != nil {
		return &wire.ExchangePermits{Busy: true}
	}
	out := &wire.ExchangePermits{}
	for _, p := range permits {
		out.Permits = append(out.Permits, &wire.ExchangePermit{Worker: p.Worker, Ticket: p.Ticket})
	}
	return out
}

// message is a pointer to a generated message.
type message[T any] interface {
	*T
	proto.Message
}

func handle[T any, M message[T]](r *mux.Router, path string, f func(context.Context, M) proto.Message) {
	r.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, "body cannot be read", http.StatusBadRequest)
			return
		}
		var m M = new(T)
		if err := proto.Unmarshal(body, m); err != nil {
			http.Error(w, "body is not the message of this path", http.StatusBadRequest)
			return
		}
		out, err := proto.Marshal(f(q.Context(), m))
		if err != nil {
			http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(out) // the caller has gone if this fails, and asks again
	}).Methods(http.MethodPost)
}

// answer returns the message for an outcome.
func answer(state string, waiting uint32, err error) *wire.ExchangeAnswer {
	a := &wire.ExchangeAnswer{State: state, Waiting: waiting}
	var refused *cell.Refused
	var moved *cell.Moved
	switch {
	case errors.As(err, &moved):
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_MOVED
		a.Docket, a.OnTheWay = uint32(moved.Docket), moved.OnTheWay
	case err == nil:
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_DONE
	case errors.As(err, &refused):
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_REFUSED
		a.Reason, a.RetryAfterMs = refused.Reason, uint32(refused.RetryAfter.Milliseconds())
	case errors.Is(err, ErrNotOwner):
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER
	case errors.Is(err, cell.ErrNoJob):
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_UNKNOWN_JOB
	default:
		a.Result = wire.ExchangeResult_EXCHANGE_RESULT_UNDECIDED
		a.Reason = err.Error()
	}
	return a
}
