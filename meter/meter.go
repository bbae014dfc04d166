// Package meter counts what an entry process does, with OpenTelemetry
// instruments that are read through a Prometheus endpoint.
//
// Each Meter has its own registry, so that several processes can live in one
// test binary. Attribute values are classes, outcomes and other small sets;
// names of callers, jobs or hosts never become attributes, so the number of
// series stays bounded. Recording before Open does nothing.
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

// other replaces an attribute value that is not of its set.
const other = "other"

// Meter holds the instruments of one process. Set the exported fields before
// Open. All methods may be called from any goroutine.
type Meter struct {
	Process    string
	DataCentre string

	registry    *prometheus.Registry
	provider    *sdk.MeterProvider
	instruments *instruments
}

// Open makes the registry and the instruments.
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
		return fmt.Errorf("make the instruments of process %q: %w", m.Process, err)
	}
	m.instruments = made
	return nil
}

// Close stops the reader.
func (m *Meter) Close(ctx context.Context) error {
	if m.provider == nil {
		return nil
	}
	if err := m.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop the metrics of process %q: %w", m.Process, err)
	}
	return nil
}

// Handler serves the metrics in the Prometheus text format, 503 before Open.
func (m *Meter) Handler() http.Handler {
	if m.registry == nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "metrics are not open", http.StatusServiceUnavailable)
		})
	}
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Request counts a request that ended, and how long it waited for a slot.
func (m *Meter) Request(c class.Class, outcome string, waited time.Duration) {
	if m.instruments == nil {
		return
	}
	of := attribute.String("class", className(c))
	add(m.instruments.requests, 1, of, attribute.String("outcome", among(outcome, outcomes)))
	m.instruments.wait.Record(context.Background(), waited.Seconds(), withAttributes(of))
}

// Placed counts a task that got a worker, and how long it waited for one.
func (m *Meter) Placed(c class.Class, waited time.Duration) {
	if m.instruments == nil {
		return
	}
	of := attribute.String("class", className(c))
	add(m.instruments.placements, 1, of)
	m.instruments.wait.Record(context.Background(), waited.Seconds(), withAttributes(of))
}

// AttemptEnded counts an attempt by its end: done, failed, stopped, refused,
// lost or unknown.
func (m *Meter) AttemptEnded(c class.Class, end string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.attempts, 1, attribute.String("class", className(c)), attribute.String("end", among(end, ends)))
}

// PlatformCall counts a call to the platform and its duration.
func (m *Meter) PlatformCall(call, result string, took time.Duration) {
	if m.instruments == nil {
		return
	}
	of := attribute.String("call", among(call, platformCalls))
	add(m.instruments.platformCalls, 1, of, attribute.String("result", among(result, results)))
	m.instruments.platformTime.Record(context.Background(), took.Seconds(), withAttributes(of))
}

// RelayCall counts a call to a peer by its result.
func (m *Meter) RelayCall(result string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.relayCalls, 1, attribute.String("result", among(result, results)))
}

// WorkerSync counts a sync with a worker by its result.
func (m *Meter) WorkerSync(result string) {
	if m.instruments == nil {
		return
	}
	add(m.instruments.workerSyncs, 1, attribute.String("result", among(result, results)))
}

// LoopBusy adds to the time in which the control loop was not waiting.
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
	set(m.instruments.shards, n, attribute.String("kind", among(kind, shardKinds)))
}

// SetQueue records how many requests and tasks of a class wait here.
func (m *Meter) SetQueue(c class.Class, n int) {
	if m.instruments == nil {
		return
	}
	set(m.instruments.queue, n, attribute.String("class", className(c)))
}

// SetConfiguration records the number of the configuration in force.
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
	set(m.instruments.workers, n, attribute.String("state", among(state, workerStates)))
}
