package sidecar

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// secondsBuckets cover answers from a few milliseconds to the longest deadlines.
var secondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// metrics counts how requests ended.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// newMetrics registers the counters of a sidecar.
func newMetrics(r prometheus.Registerer, s *Sidecar) *metrics {
	f := promauto.With(r)
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "gentiansail", Subsystem: "sidecar", Name: name, Help: help}
	}
	gauge := func(name, help string, v func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts(opts(name, help)), v)
	}
	gauge("target_running_requests", "Requests that the target runs.", func() float64 { return float64(s.gate.Load().Running) })
	gauge("target_waiting_requests", "Requests that wait for a slot of the target.", func() float64 { return float64(s.gate.Load().Waiting) })
	gauge("target_service_milliseconds", "Mean time that the target takes for a request.", func() float64 { return float64(s.gate.Load().ServiceMillis) })
	gauge("view_version", "Version of the core's state in force.", func() float64 {
		if v := s.book.Current(); v != nil {
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
		requests: f.NewCounterVec(prometheus.CounterOpts(opts("requests_total", "Requests of callers by route, service, reason (empty: the target answered) and status.")),
			[]string{"route", "service", "reason", "status"}),
		seconds: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "gentiansail", Subsystem: "sidecar", Name: "request_seconds", Buckets: secondsBuckets,
			Help: "Time from a caller's request to the end of its answer, by service and reason.",
		}, []string{"service", "reason"}),
	}
}

func (m *metrics) count(route, service string, reason hop.Reason, status int, took clock.Millis) {
	m.requests.WithLabelValues(route, service, string(reason), strconv.Itoa(status)).Inc()
	m.seconds.WithLabelValues(service, string(reason)).Observe(float64(took) / 1000)
}
