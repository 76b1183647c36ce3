// Package process holds what every gentiansail daemon has in common: its
// logger, its signal handling, and the listener for metrics and health.
//
// # Usage
//
//	log := process.NewLogger(os.Stderr, "node", name)
//	ctx, stop := process.SignalContext(context.Background())
//	defer stop()
//	err := process.ServeMetrics(ctx, listener, registry, health)
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
)

// ErrListener is the error of an HTTP listener that failed.
var ErrListener = merry.Sentinel("HTTP listener failed")

// metricsStopTimeout bounds how long a stop waits for a scrape in progress.
const metricsStopTimeout = time.Second

// NewLogger returns a logger of JSON lines with the fields that each line of a
// process carries.
func NewLogger(w io.Writer, role, name string) zerolog.Logger {
	return zerolog.New(w).With().Str("Role", role).Str("Name", name).Logger().Hook(zerolog.HookFunc(stamp))
}

// stamp adds the time in milliseconds: changes of leadership and ownership follow
// each other within one second. The library's own format is a global variable.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// ServeMetrics serves /metrics, /healthz and /debug/pprof on l until ctx ends. health returns
// nil while the process can do its work.
func ServeMetrics(ctx context.Context, l net.Listener, g prometheus.Gatherer, health func() error) error {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	// Profiles answer the question of where a process under load spends its time
	// without a restart.
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return ServeHTTP(ctx, l, &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}, metricsStopTimeout)
}
