package exchange

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/ingress"
	"persimmonworks.example/persimmonworks/intake"
	"persimmonworks.example/persimmonworks/wire"
)

// Server serves the requests of other processes with a Service.
type Server struct {
	Service Service

	large sync.Mutex // held while a large message is decoded
}

// Handler returns the HTTP handler of all requests.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	handle(s, r, pathSubmit, func(ctx context.Context, m *wire.ExchangeSubmit) proto.Message {
		if m.GetJob().GetJob() == "" {
			return encodeAnswer("", 0, &cell.RefusedError{Reason: "the submission names no job"})
		}
		return encodeAnswer("", 0, s.Service.SubmitLocal(ctx, int(m.GetDocket()), m.GetJob()))
	})
	handle(s, r, pathState, func(ctx context.Context, m *wire.ExchangeJob) proto.Message {
		state, err := s.Service.StateLocal(ctx, int(m.GetDocket()), m.GetJob(), m.GetOrganisation())
		return encodeAnswer(string(state), 0, err)
	})
	handle(s, r, pathCancel, func(ctx context.Context, m *wire.ExchangeJob) proto.Message {
		return encodeAnswer("", 0, s.Service.CancelLocal(ctx, int(m.GetDocket()), m.GetJob(), m.GetOrganisation()))
	})
	handle(s, r, pathWaiting, func(ctx context.Context, m *wire.ExchangeQueue) proto.Message {
		waiting, err := s.Service.WaitingLocal(ctx, int(m.GetDocket()), m.GetQueue())
		return encodeAnswer("", waiting, err)
	})
	handle(s, r, pathHello, s.hello)
	handle(s, r, pathYield, func(_ context.Context, m *wire.ExchangeYield) proto.Message {
		if s.Service.HandleTakeoverRequest(int(m.GetDocket()), m.GetEpoch()) {
			return encodeAnswer("", 0, nil)
		}
		return encodeAnswer("", 0, &cell.RefusedError{Reason: "the store does not answer here either"})
	})
	handle(s, r, pathQuota, s.claimQuota)
	handle(s, r, pathAdvise, s.advise)
	handle(s, r, pathConfiguration, func(_ context.Context, m *wire.ExchangeConfigurationAbove) proto.Message {
		return &wire.ExchangeConfiguration{Value: s.Service.ConfigurationAbove(m.GetVersion())}
	})
	return r
}

func (s *Server) hello(ctx context.Context, m *wire.ExchangeHello) proto.Message {
	hello := Hello{
		Name: m.GetProcess(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Cores: m.GetCores(),
		SkipPeers: m.GetSkipPeers(), Configuration: m.GetConfiguration(),
	}
	for _, d := range m.GetHelps() {
		hello.AdvisedDockets = append(hello.AdvisedDockets, int(d))
	}
	welcome, err := s.Service.HandleHello(ctx, hello, decodeOwners(m.GetOwners()))
	if err != nil {
		return &wire.ExchangeWelcome{}
	}
	out := &wire.ExchangeWelcome{Owners: encodeOwners(welcome.Owners), Configuration: welcome.Configuration}
	for _, p := range welcome.Peers {
		out.Peers = append(out.Peers, &wire.ExchangePeer{Address: p.Address, Cores: p.Cores})
	}
	return out
}

func (s *Server) claimQuota(ctx context.Context, m *wire.ExchangeQuotaClaims) proto.Message {
	grants, err := s.Service.ClaimQuotaLocal(ctx, m)
	switch {
	case errors.Is(err, ErrNotOwner):
		return &wire.ExchangeQuotaGrants{Result: wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER}
	case err != nil:
		return &wire.ExchangeQuotaGrants{Result: wire.ExchangeResult_EXCHANGE_RESULT_UNDECIDED}
	}
	return grants
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

// message is the type constraint of a pointer to a generated message.
type message[T any] interface {
	*T
	proto.Message
}

// handle registers a handler that decodes the request message of a path and encodes
// the answer.
func handle[T any, M message[T]](s *Server, r *mux.Router, path string, handler func(context.Context, M) proto.Message) {
	r.HandleFunc(path, func(w http.ResponseWriter, req *http.Request) {
		body, err := ingress.ReadBody(w, req, maxMessageBytes)
		var refused *intake.RefusedError
		if errors.As(err, &refused) {
			http.Error(w, refused.Error(), statusNotReceived)
			return
		}
		if err != nil {
			http.Error(w, "body cannot be read", http.StatusBadRequest)
			return
		}
		var m M = new(T)
		if err := s.decode(body, m); err != nil {
			http.Error(w, "body is not the message of this path", http.StatusBadRequest)
			return
		}
		out, err := proto.Marshal(handler(req.Context(), m))
		if err != nil {
			http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(out) // on failure the caller has disconnected and will retry
	}).Methods(http.MethodPost)
}

// encodeAnswer returns the answer to a request with the given outcome.
func encodeAnswer(state string, waiting uint32, err error) *wire.ExchangeAnswer {
	answer := &wire.ExchangeAnswer{State: state, Waiting: waiting}
	var refused *cell.RefusedError
	var moved *cell.MovedError
	switch {
	case errors.As(err, &moved):
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_MOVED
		answer.Docket, answer.OnTheWay = uint32(moved.Docket), moved.InTransit
		answer.Move, answer.State = moved.Move, string(moved.State)
	case err == nil:
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_DONE
	case errors.As(err, &refused):
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_REFUSED
		answer.Reason, answer.RetryAfterMs = refused.Reason, uint32(refused.RetryAfter.Milliseconds())
	case errors.Is(err, ErrNotOwner):
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_NOT_OWNER
	case errors.Is(err, cell.ErrNoJob):
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_UNKNOWN_JOB
	default:
		answer.Result = wire.ExchangeResult_EXCHANGE_RESULT_UNDECIDED
		answer.Reason = err.Error()
	}
	return answer
}
