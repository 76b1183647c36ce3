package sidecar

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// requestSecondsBuckets covers durations from 10 ms to the longest deadlines.
var requestSecondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// metrics are the metrics of finished requests.
type metrics struct {
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
}

// newMetrics registers all metrics of a sidecar and returns those of its requests.
func newMetrics(registerer prometheus.Registerer, s *Sidecar) *metrics {
	factory := promauto.With(registerer)
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "gentiansail", Subsystem: "sidecar", Name: name, Help: help}
	}
	gauge := func(name, help string, value func() float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts(opts(name, help)), value)
	}
	gauge("target_running_requests", "Requests that the target runs.", func() float64 { return float64(s.gate.Load().Running) })
	gauge("target_waiting_requests", "Requests that wait for a slot of the target.", func() float64 { return float64(s.gate.Load().Waiting) })
	gauge("target_service_milliseconds", "Mean time that the target takes for a request.", func() float64 { return float64(s.gate.Load().ServiceMillis) })
	gauge("view_version", "Version of the core's state in force.", func() float64 {
		if v := s.views.Current(); v != nil {
			return float64(v.Version)
		}
		return 0
	})
	gauge("ready", "1 while callers are welcome.", func() float64 {
		if s.Ready() {
			return 1
		}
		return 0
	})
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts(opts("requests_total", "Requests of callers by route, service, reason (empty: the target answered) and status.")),
			[]string{"route", "service", "reason", "status"}),
		requestSeconds: factory.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "gentiansail", Subsystem: "sidecar", Name: "request_seconds", Buckets: requestSecondsBuckets,
			Help: "Time from a caller's request to the end of its answer, by service and reason.",
		}, []string{"service", "reason"}),
	}
}

// record records a finished request of a caller.
func (m *metrics) record(route, service string, reason hop.Reason, status int, duration clock.Millis) {
	m.requests.WithLabelValues(route, service, string(reason), strconv.Itoa(status)).Inc()
	m.requestSeconds.WithLabelValues(service, string(reason)).Observe(float64(duration) / 1000)
}
