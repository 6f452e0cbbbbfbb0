package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/flamingohold/flamingohold/internal/process/settings"
)

const (
	instrumentationName = "github.com/flamingohold/flamingohold"
	metricsPrefix       = "flamingohold"
	reportInterval      = time.Second
	// spanBatchDelay limits the time after which a finished span is written to
	// the trace file, so that the trace of a request can be read soon after its
	// response.
	spanBatchDelay = 200 * time.Millisecond
)

// Telemetry holds the tracer and the metrics of one process. It is safe for
// concurrent use.
type Telemetry struct {
	provider   *trace.TracerProvider
	propagator propagation.TextMapPropagator
	scope      tally.Scope
	metrics    http.Handler
	// closers release the metrics reporter and the span file, in this order.
	closers []io.Closer
}

// New sets up the span exporters named in the settings, and the metrics. Without
// an exporter no span is recorded, but trace identifiers are still propagated.
func New(ctx context.Context, s *settings.Settings) (*Telemetry, error) {
	t := &Telemetry{propagator: propagation.TraceContext{}}
	if err := t.openMetrics(); err != nil {
		return nil, err
	}
	options, err := t.spanOptions(ctx, s)
	if err != nil {
		return nil, err
	}
	t.provider = trace.NewTracerProvider(options...)
	return t, nil
}

func (t *Telemetry) openMetrics() error {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return errors.Wrap(err, "register runtime metrics")
	}
	if err := registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return errors.Wrap(err, "register process metrics")
	}
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricsPrefix,
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportInterval)
	t.scope = scope
	t.metrics = reporter.HTTPHandler()
	t.closers = append(t.closers, closer)
	return nil
}

func (t *Telemetry) spanOptions(ctx context.Context, s *settings.Settings) ([]trace.TracerProviderOption, error) {
	options := []trace.TracerProviderOption{trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "flamingohold"),
		attribute.String("service.instance.id", s.Name),
		attribute.String("data_centre", s.DataCentre),
	))}
	if s.TraceFile == "" && s.OTLPEndpoint == "" {
		return append(options, trace.WithSampler(trace.NeverSample())), nil
	}
	if s.TraceFile != "" {
		file, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		t.closers = append(t.closers, file)
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Wrap(err, "open span exporter")
		}
		options = append(options, trace.WithBatcher(exporter, trace.WithBatchTimeout(spanBatchDelay)))
	}
	if s.OTLPEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.OTLPEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrapf(err, "open OTLP exporter to %s", s.OTLPEndpoint)
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	return options, nil
}

// Tracer returns the tracer of the process.
func (t *Telemetry) Tracer() oteltrace.Tracer { return t.provider.Tracer(instrumentationName) }

// Scope returns the root scope of the process's metrics.
func (t *Telemetry) Scope() tally.Scope { return t.scope }

// MetricsHandler serves the metrics in the Prometheus text format.
func (t *Telemetry) MetricsHandler() http.Handler { return t.metrics }

// Extract returns a context with the trace identifiers of the traceparent header.
func (t *Telemetry) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject sets the traceparent header to the span of the context.
func (t *Telemetry) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Shutdown writes the remaining spans and metrics and closes the exporters.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	for _, c := range t.closers {
		err = errors.CombineErrors(err, c.Close())
	}
	return errors.Wrap(err, "shut down telemetry")
}
