package meter

import (
	"context"
	"errors"
	"slices"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"persimmonworks.example/persimmonworks/class"
)

// The allowed attribute values.
var (
	outcomes      = []string{OutcomeDone, OutcomeFailed, OutcomeNotRun, OutcomeUnknown}
	results       = []string{ResultOK, ResultConflict, ResultUnavailable, ResultUnknown, ResultFailed}
	attemptEnds   = []string{"done", "failed", "stopped", "refused", "lost", "unknown"}
	platformCalls = []string{"get", "range", "commit", "object-get", "object-put", "object-delete", "hosts"}
	shardKinds    = []string{"rack", "jobs"}
	closedReasons = []string{"bytes", "connections", "stalled", "slow", "unread", "turn"}
	waitOutcomes  = []string{"served", "refused", "closed"}
	callerStates  = []string{"idle", "reading", "handling", "waiting"}
	workerStates  = []string{"open", "closed", "quarantined", "draining"}
)

// waitBounds are the bucket bounds of waiting times, in seconds. 1.3 s is the
// target for urgent work.
var waitBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.3, 2, 5, 10, 30, 60, 300, 1800, 7200}

// instruments are the OpenTelemetry instruments of a Meter.
type instruments struct {
	requests, placements, attempts          metric.Int64Counter
	platformCalls, relayCalls, workerSyncs  metric.Int64Counter
	loopSteps, callersClosed, callersWaited metric.Int64Counter
	loopBusy                                metric.Float64Counter
	wait, platformTime, callerWait          metric.Float64Histogram
	shards, queue, configuration, workers   metric.Int64Gauge
	callerBytes, callerConnections          metric.Int64Gauge
}

// builder creates instruments and collects the errors.
type builder struct {
	meter metric.Meter
	errs  []error
}

func newInstruments(m metric.Meter) (*instruments, error) {
	b := builder{meter: m}
	made := &instruments{
		requests:          b.counter("requests", "Requests that ended."),
		placements:        b.counter("placements", "Tasks that got a worker."),
		attempts:          b.counter("attempts", "Attempts that ended."),
		platformCalls:     b.counter("platform.calls", "Calls to the platform."),
		relayCalls:        b.counter("relay.calls", "Calls to peers."),
		workerSyncs:       b.counter("worker.syncs", "Syncs with workers."),
		loopSteps:         b.counter("control.loop.steps", "Steps of the control loop."),
		callersClosed:     b.counter("callers.closed", "Callers that were refused or closed for what they held."),
		loopBusy:          b.seconds("control.loop.busy", "Time in which the control loop was not waiting."),
		callersWaited:     b.counter("callers.waited", "Callers that waited for a place, by outcome."),
		callerWait:        b.histogram("callers.wait", "Time that callers waited for a place."),
		wait:              b.histogram("wait", "Time from acceptance to a slot or worker."),
		platformTime:      b.histogram("platform.call.duration", "Time that calls to the platform took."),
		shards:            b.gauge("shards.owned", "Shards that this process owns."),
		queue:             b.gauge("queue.length", "Requests and tasks waiting here."),
		configuration:     b.gauge("configuration.number", "Number of the configuration in force."),
		callerBytes:       b.gauge("callers.bytes", "Bytes of requests that are arriving, as max-held-bytes counts them."),
		callerConnections: b.gauge("callers.connections", "Open connections of callers by state."),
		workers:           b.gauge("workers", "Workers of the owned shards by state."),
	}
	return made, errors.Join(b.errs...)
}

func (b *builder) counter(name, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter("persimmonworks."+name, metric.WithDescription(text))
	b.errs = append(b.errs, err)
	return c
}

func (b *builder) seconds(name, text string) metric.Float64Counter {
	c, err := b.meter.Float64Counter("persimmonworks."+name, metric.WithDescription(text), metric.WithUnit("s"))
	b.errs = append(b.errs, err)
	return c
}

func (b *builder) histogram(name, text string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram("persimmonworks."+name, metric.WithDescription(text),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(waitBounds...))
	b.errs = append(b.errs, err)
	return h
}

func (b *builder) gauge(name, text string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge("persimmonworks."+name, metric.WithDescription(text))
	b.errs = append(b.errs, err)
	return g
}

func add(c metric.Int64Counter, n int64, attrs ...attribute.KeyValue) {
	c.Add(context.Background(), n, withAttributes(attrs...))
}

func set(g metric.Int64Gauge, n int, attrs ...attribute.KeyValue) {
	g.Record(context.Background(), int64(n), withAttributes(attrs...))
}

func withAttributes(attrs ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attrs...))
}

// className returns the attribute value of a class, other for an unknown class.
func className(c class.Class) string {
	if slices.Contains(class.All, c) {
		return string(c)
	}
	return other
}

// valueOrOther returns value if it is in values, else other.
func valueOrOther(value string, values []string) string {
	if slices.Contains(values, value) {
		return value
	}
	return other
}
