// Package meter records the metrics of an entry process with OpenTelemetry
// instruments and serves them in the Prometheus format.
//
// Each Meter has its own registry, so that several processes can run in one
// test binary. Attribute values come from small fixed sets such as classes and
// outcomes. Names of callers, jobs or hosts never become attributes, so the
// number of series is bounded. Recording before Open has no effect.
//
// Usage:
//
//	m := meter.Meter{Process: "entry-1", DataCentre: "sofia"}
//	if err := m.Open(); err != nil {
//		return err
//	}
//	defer m.Close(ctx)
//	router.Handle("/metrics", m.Handler())
//	m.Request(class.Urgent, meter.OutcomeDone, waited)
package meter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"persimmonworks.example/persimmonworks/class"
)

// Outcomes of a request. Any other outcome is counted as "other".
const (
	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Results of a call to the platform, a peer or a worker.
const (
	ResultOK          = "ok"
	ResultConflict    = "conflict"
	ResultUnavailable = "unavailable"
	ResultUnknown     = "unknown"
	ResultFailed      = "failed"
)

// other replaces an attribute value outside its set.
const other = "other"

// Meter holds the instruments of one process. Set the exported fields before
// Open. All methods are safe for concurrent use.
type Meter struct {
	Process    string
	DataCentre string

	registry    *prometheus.Registry
	provider    *sdk.MeterProvider
	instruments *instruments
}

// Open creates the registry and the instruments.
func (m *Meter) Open() error {
	m.registry = prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo())
	if err != nil {
		return fmt.Errorf("open the metrics exporter of process %q: %w", m.Process, err)
	}
	m.provider = sdk.NewMeterProvider(
		sdk.WithReader(reader),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "persimmonworks"),
			attribute.String("service.instance.id", m.Process),
			attribute.String("data-centre", m.DataCentre),
		)),
	)
	made, err := newInstruments(m.provider.Meter("persimmonworks"))
	if err != nil {
		return fmt.Errorf("create the instruments of process %q: %w", m.Process, err)
	}
	m.instruments = made
	return nil
}

// Close shuts down the meter provider.
func (m *Meter) Close(ctx context.Context) error {
	if m.provider == nil {
		return nil
	}
	if err := m.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down the metrics of process %q: %w", m.Process, err)
	}
	return nil
}

// Handler serves the metrics in the Prometheus text format. Before Open it
// responds with status 503.
func (m *Meter) Handler() http.Handler {
	if m.registry == nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "metrics are not open", http.StatusServiceUnavailable)
		})
	}
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Request counts a completed request and records how long it waited for a slot.
func (m *Meter) Request(c class.Class, outcome string, waited time.Duration) {
	if m.instruments == nil {
		return
	}
	attr := attribute.String("class", className(c))
	add(m.instruments.requests, 1, attr, attribute.String("outcome", valueOrOther(outcome, outcomes)))
	m.instruments.wait.Record(context.Background(), waited.Seconds(), withAttributes(attr))
}

// Placed counts a task that was assigned a worker and records how long it
// waited for one.
func (m *Meter) Placed(c class.Class, waited time.Duration) {
	if m.instruments == nil {
		return
	}
	attr := attribute.String("class", className(c))
	add(m.instruments.placements, 1, attr)
	m.instruments.wait.Record(context.Background(), waited.Seconds(), withAttributes(attr))
}

// AttemptEnded counts an ended attempt by how it ended: done, failed, stopped,
// refused, lost or unknown.
func (m *Meter) AttemptEnded(c class.Class, end string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.attempts, 1, attribute.String("class", className(c)), attribute.String("end", valueOrOther(end, attemptEnds)))
}

// PlatformCall counts a call to the platform and records its duration.
func (m *Meter) PlatformCall(call, result string, took time.Duration) {
	if m.instruments == nil {
		return
	}
	attr := attribute.String("call", valueOrOther(call, platformCalls))
	add(m.instruments.platformCalls, 1, attr, attribute.String("result", valueOrOther(result, results)))
	m.instruments.platformTime.Record(context.Background(), took.Seconds(), withAttributes(attr))
}

// RelayCall counts a call to a peer by its result.
func (m *Meter) RelayCall(result string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.relayCalls, 1, attribute.String("result", valueOrOther(result, results)))
}

// WorkerSync counts a sync with a worker by its result.
func (m *Meter) WorkerSync(result string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.workerSyncs, 1, attribute.String("result", valueOrOther(result, results)))
}

// LoopBusy counts one step of the control loop and adds its duration to the
// loop's busy time.
func (m *Meter) LoopBusy(took time.Duration) {
	if m.instruments == nil {
		return
	}
	m.instruments.loopBusy.Add(context.Background(), took.Seconds())
	m.instruments.loopSteps.Add(context.Background(), 1)
}

// SetShards records how many shards of a kind (rack or jobs) this process owns.
func (m *Meter) SetShards(kind string, n int) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.shards, n, attribute.String("kind", valueOrOther(kind, shardKinds)))
}

// SetQueue records how many requests and tasks of a class are queued in this
// process.
func (m *Meter) SetQueue(c class.Class, n int) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.queue, n, attribute.String("class", className(c)))
}

// SetConfiguration records the number of the active configuration.
func (m *Meter) SetConfiguration(number uint64) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.configuration, int(number))
}

// SetWorkers records how many workers of the owned shards are in a state:
// open, closed, quarantined or draining.
func (m *Meter) SetWorkers(state string, n int) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.workers, n, attribute.String("state", valueOrOther(state, workerStates)))
}

// CallerClosed counts a caller that was refused or closed for what it held.
func (m *Meter) CallerClosed(reason string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.callersClosed, 1, attribute.String("reason", valueOrOther(reason, closedReasons)))
}

// CallerWaited counts a caller that waited for a place, by what came of it.
func (m *Meter) CallerWaited(outcome string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.callersWaited, 1, attribute.String("outcome", valueOrOther(outcome, waitOutcomes)))
}

// CallerWait observes how long a caller waited for a place.
func (m *Meter) CallerWait(d time.Duration) {
	if m.instruments == nil {
		return
	}
	m.instruments.callerWait.Record(context.Background(), d.Seconds())
}

// SetCallerBytes sets the bytes of requests that are arriving.
func (m *Meter) SetCallerBytes(n int64) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.callerBytes, int(n))
}

// SetCallerConnections sets how many connections of callers are in a state.
func (m *Meter) SetCallerConnections(state string, n int) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.callerConnections, n, attribute.String("state", valueOrOther(state, callerStates)))
}
