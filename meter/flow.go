package meter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// DynamicMeter counts outcomes and records durations under metric names that callers
// choose from a small fixed set. Its instruments are created on first use. Call
// Open first; the other methods are safe for concurrent use.
type DynamicMeter struct {
	registry *prometheus.Registry
	meter    metric.Meter

	mu         sync.Mutex
	counters   map[string]metric.Int64Counter
	outcomes   map[string]metric.MeasurementOption
	histograms map[string]metric.Float64Histogram
}

// Open creates the registry and the meter.
func (f *DynamicMeter) Open() error {
	f.registry = prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(f.registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	f.meter = sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("persimmonworks")
	f.counters = map[string]metric.Int64Counter{}
	f.outcomes = map[string]metric.MeasurementOption{}
	f.histograms = map[string]metric.Float64Histogram{}
	return nil
}

// Handler serves the metrics in the Prometheus text format.
func (f *DynamicMeter) Handler() http.Handler {
	return promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{})
}

// Count increments the named counter for an outcome.
func (f *DynamicMeter) Count(name, outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.counters[name]
	if !ok {
		made, err := f.meter.Int64Counter("persimmonworks." + name)
		if err != nil {
			return // all names are constants; the test of this package fails on an invalid one
		}
		c = made
		f.counters[name] = c
	}
	o, ok := f.outcomes[outcome]
	if !ok {
		o = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", outcome)))
		f.outcomes[outcome] = o
	}
	c.Add(context.Background(), 1, o)
}

// Observe records a duration in the named histogram.
func (f *DynamicMeter) Observe(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.histograms[name]
	if !ok {
		made, err := f.meter.Float64Histogram("persimmonworks."+name+".duration", metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(waitBounds...))
		if err != nil {
			return // see Count
		}
		h = made
		f.histograms[name] = h
	}
	h.Record(context.Background(), d.Seconds())
}

// Gauge adds a gauge that is read whenever the metrics are. unit may be empty.
func (f *DynamicMeter) Gauge(name, unit string, read func() float64) error {
	_, err := f.meter.Float64ObservableGauge("persimmonworks."+name, metric.WithUnit(unit),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("gauge %s: %w", name, err)
	}
	return nil
}
