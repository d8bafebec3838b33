package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	traceOff = iota
	traceStdout
	traceFile
	traceOTLP
)

func traceKind(export string) (int, error) {
	switch {
	case export == "":
		return traceOff, nil
	case export == "stdout":
		return traceStdout, nil
	case strings.HasPrefix(export, "file:") && len(export) > len("file:"):
		return traceFile, nil
	case strings.HasPrefix(export, "http://"), strings.HasPrefix(export, "https://"):
		return traceOTLP, nil
	}
	return 0, fmt.Errorf("%q is not stdout, file:PATH or a URL", export)
}

// newTracer returns the tracer of the process and a function that flushes and stops
// it. The resource attributes of all spans include the name and zone of the process.
func newTracer(program string, c Common) (trace.Tracer, func(context.Context) error, error) {
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.TraceSample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "bulrush-"+program),
			attribute.String("service.instance.id", c.Name),
			attribute.String("zone", c.Zone),
		)),
	}
	kind, err := traceKind(c.TraceExport)
	if err != nil {
		return nil, nil, err
	}
	var file *os.File
	switch kind {
	case traceStdout, traceFile:
		out := os.Stdout
		if kind == traceFile {
			file, err = os.OpenFile(strings.TrimPrefix(c.TraceExport, "file:"),
				os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
			if err != nil {
				return nil, nil, fmt.Errorf("open trace file: %w", err)
			}
			out = file
		}
		exp, err := stdouttrace.New(stdouttrace.WithWriter(out))
		if err != nil {
			return nil, nil, fmt.Errorf("create trace exporter: %w", err)
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	case traceOTLP:
		exp, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(c.TraceExport))
		if err != nil {
			return nil, nil, fmt.Errorf("create trace exporter: %w", err)
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	tp := sdktrace.NewTracerProvider(opts...)
	stop := func(ctx context.Context) error {
		err := tp.Shutdown(ctx)
		if file != nil {
			err = errors.Join(err, file.Close())
		}
		return err
	}
	return tp.Tracer("bulrush-" + program), stop, nil
}

// TraceParent returns the W3C traceparent of the span in ctx, to propagate the trace to
// the next hop.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// WithTraceParent returns a context whose spans continue the trace of the W3C
// traceparent. It returns ctx if parent is empty.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}
