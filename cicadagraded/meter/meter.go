// Package meter counts what a VM does, by OpenTelemetry, and exposes it in
// the Prometheus format.
package meter

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"cicadagrade.example/tier"
)

const scope = "cicadagrade.example/cicadagraded"

// latencyBounds are the bucket bounds of request latency, in milliseconds.
var latencyBounds = []float64{1, 2, 5, 10, 20, 50, 100, 180, 250, 500, 1000, 2000, 5000, 10000}

// Meter holds the instruments of one VM.
type Meter struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter
	requests metric.Int64Counter
	latency  metric.Int64Histogram
}

// New returns the meter of a VM.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(e))
	m := &Meter{provider: provider, registry: registry, meter: provider.Meter(scope)}
	m.requests, err = m.meter.Int64Counter("cicadagrade.requests",
		metric.WithDescription("Callers' requests that ended, by route, rank and outcome"))
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	m.latency, err = m.meter.Int64Histogram("cicadagrade.request.latency",
		metric.WithDescription("Time from a caller's request to its answer"),
		metric.WithUnit("ms"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	return m, nil
}

// RecordRequest counts a caller's request that ended.
func (m *Meter) RecordRequest(route, rank, outcome string, took tier.Millis) {
	labels := metric.WithAttributes(
		attribute.String("route", route),
		attribute.String("rank", rank),
		attribute.String("outcome", outcome),
	)
	m.requests.Add(context.Background(), 1, labels)
	m.latency.Record(context.Background(), int64(took), labels)
}

// Point is one value of a gauge, with its labels.
type Point struct {
	labels []attribute.KeyValue
	value  int64
}

// NewPoint returns a value with labels given as pairs of name and value.
func NewPoint(value int64, labels ...string) Point {
	p := Point{value: value}
	for i := 0; i+1 < len(labels); i += 2 {
		p.labels = append(p.labels, attribute.String(labels[i], labels[i+1]))
	}
	return p
}

// RegisterGauge registers a gauge whose points are read when the metrics are.
func (m *Meter) RegisterGauge(name, description string, read func() []Point) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, p := range read() {
				o.Observe(p.value, metric.WithAttributes(p.labels...))
			}
			return nil
		}))
	return errors.Wrap(err, "Meter.Observe")
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close flushes and stops the meter.
func (m *Meter) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "Meter.Close")
}
