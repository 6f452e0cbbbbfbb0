//go:build pending

// Package pending keeps the declared dependencies in go.mod until the packages
// that use them exist.
package pending

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/integrii/flaggy"
	_ "github.com/lesismal/nbio"
	_ "github.com/lesismal/nbio/nbhttp"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/stretchr/testify/require"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.opentelemetry.io/otel/trace"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)
