// Package process provides the parts that all gentiansail daemons share: logging,
// signal handling, HTTP listeners and garbage collector settings.
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

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
)

// ErrListener means that an HTTP listener failed.
var ErrListener = merry.Sentinel("HTTP listener failed")

// metricsStopTimeout limits how long a planned stop waits for a scrape in progress.
const metricsStopTimeout = time.Second

// metricsIdleTimeout is longer than the interval between two scrapes.
const metricsIdleTimeout = 2 * time.Minute

// NewLogger returns a logger that writes JSON lines with the process's role, its name
// and the time.
func NewLogger(w io.Writer, role, name string) zerolog.Logger {
	return zerolog.New(w).With().Str("Role", role).Str("Name", name).Logger().Hook(zerolog.HookFunc(addTime))
}

// addTime adds the time with milliseconds, because several changes of leadership and
// ownership can happen within one second. It is a hook because zerolog's own time format
// is a global variable.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT.
func SignalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// ServeMetrics serves /metrics, /healthz and /debug/pprof on l until ctx ends. health
// returns nil while the process is healthy. Requests for other paths go to the handler other,
// if there is one.
func ServeMetrics(ctx context.Context, l net.Listener, g prometheus.Gatherer, health func() error, other http.Handler) error {
	r := chi.NewRouter()
	if other != nil {
		r.NotFound(other.ServeHTTP)
	}
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if err := health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	// Profiles show where a process under load spends its time, without a restart.
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return ServeHTTP(ctx, l, &http.Server{Handler: inbound.Handler(r), ConnContext: inbound.ConnContext, MaxHeaderBytes: inbound.MaxHeaderBytes, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: metricsIdleTimeout}, metricsStopTimeout)
}
