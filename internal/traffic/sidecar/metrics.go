package sidecar

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// requestSecondsBuckets covers durations from 10 ms to the longest deadlines.
var requestSecondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// metrics are the metrics of finished requests.
type metrics struct {
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	secondCopies   *prometheus.CounterVec
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
	gauge("target_call_share", "Share of the target's slots that calls of runs at other targets have lately asked for.", func() float64 { return s.gate.CallShare() })
	gauge("target_rate_limit", "Requests a second that the target takes from all hosts together; 0 if it names no limit.", func() float64 { return s.gate.RateLimit() })
	gauge("target_service_milliseconds", "Mean time that the target takes for a request, or the time that its limit corresponds to.", func() float64 { return float64(s.gate.Load().ServiceMillis) })
	gauge("target_cold", "1 while the target is, or may be, cold.", func() float64 {
		if s.gate.Cold() {
			return 1
		}
		return 0
	})
	gauge("target_evacuated", "1 while the failure domain of this host is evacuated.", func() float64 {
		if begun, _ := s.gate.Evacuation(); begun {
			return 1
		}
		return 0
	})
	gauge("link_utilization", "Part of the bandwidth of the host's link that is in use in the busier direction; 0 if the bandwidth is not known.", s.options.Link.Utilization)
	gauge("view_version", "Version of the core's state in force.", func() float64 {
		if v := s.views.Current(); v != nil {
			return float64(v.Version)
		}
		return 0
	})
	gauge("requests_ahead", "Requests that run, or ran, before earlier requests of their connection are answered.", func() float64 { return float64(s.pipeline.Ahead()) })
	gauge("requests_buffered_bytes", "Bytes of callers' requests that wait in line on their connection.", func() float64 { return float64(s.pipeline.Buffered()) })
	gauge("ready", "1 while callers are welcome.", func() float64 {
		if s.Ready() {
			return 1
		}
		return 0
	})
	return &metrics{
		secondCopies: factory.NewCounterVec(prometheus.CounterOpts(opts("second_copies_total", "Slow requests by service and what became of their second copy: first-won, second-won and none-won if one was sent, else why it was not: limit, retry-budget, busy, no-target or late.")),
			[]string{"service", "outcome"}),
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

// newColdCounter registers the counter of requests that wait or are rejected because the
// target is cold, and returns the function that counts them.
func newColdCounter(registerer prometheus.Registerer) func(gate.ColdOutcome) {
	counter := promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{Namespace: "gentiansail", Subsystem: "sidecar", Name: "target_cold_requests_total",
		Help: "Requests that waited for their turn at a cold target, or were rejected, by outcome."}, []string{"outcome"})
	return func(outcome gate.ColdOutcome) { counter.WithLabelValues(string(outcome)).Inc() }
}

// recordSecondCopy records a request whose first copy was slow.
func (m *metrics) recordSecondCopy(service, outcome string) {
	m.secondCopies.WithLabelValues(service, outcome).Inc()
}

// leaseMetrics are the metrics of a target that takes its keys by calls.
type leaseMetrics struct {
	leases    *prometheus.CounterVec
	calls     *prometheus.CounterVec
	doubts    prometheus.Counter
	waitedOut prometheus.Histogram
}

// waitedOutBuckets covers times in seconds up to the longest lease.
var waitedOutBuckets = []float64{0, 0.05, 0.2, 0.5, 1, 1.5, 2}

func newLeaseMetrics(registerer prometheus.Registerer, l *leaser) *leaseMetrics {
	factory := promauto.With(registerer)
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "gentiansail", Subsystem: "sidecar", Name: name, Help: help}
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("target_calls_unanswered", "Grants without a response that may still take effect.")), func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ledger == nil {
			return 0
		}
		return float64(l.ledger.Unanswered(l.sidecar.options.Clock.Now()))
	})
	return &leaseMetrics{
		leases:    factory.NewCounterVec(prometheus.CounterOpts(opts("leases_total", "Requests for a lease of the target's keys by outcome.")), []string{"outcome"}),
		calls:     factory.NewCounterVec(prometheus.CounterOpts(opts("target_calls_total", "Calls to the target that grant, renew or release keys, by kind and outcome.")), []string{"kind", "outcome"}),
		doubts:    factory.NewCounter(prometheus.CounterOpts(opts("target_key_rejections_total", "Requests that the target rejected although their key was granted to it."))),
		waitedOut: factory.NewHistogram(prometheus.HistogramOpts{Namespace: "gentiansail", Subsystem: "sidecar", Name: "release_put_off_seconds", Buckets: waitedOutBuckets, Help: "Time for which a release was put off until unanswered grants had ended."}),
	}
}
