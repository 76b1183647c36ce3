package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// nodeMetrics holds the node's metrics.
type nodeMetrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	retries           prometheus.Counter
	returnedToIngress prometheus.Counter
	aborted           prometheus.Counter
	exchangeErrors    *prometheus.CounterVec
	heartbeats        *prometheus.CounterVec
	incarnations      *prometheus.CounterVec
	unrecorded        prometheus.Counter
}

func newMetrics(n *node) *nodeMetrics {
	m := &nodeMetrics{
		registry:          prometheus.NewRegistry(),
		requests:          counters("requests_total", "Requests of callers by outcome and reason.", "outcome", "reason"),
		retries:           counter("retries_total", "Further attempts of requests."),
		returnedToIngress: counter("requests_handed_back_total", "Requests that waited on the owner's side and were handed back to the ingress node."),
		aborted:           counter("responses_aborted_total", "Responses that could not be completed."),
		exchangeErrors:    counters("exchange_errors_total", "Failed exchanges by the hop's far end.", "hop"),
		heartbeats:        counters("heartbeats_total", "Heartbeats by result.", "result"),
		incarnations:      counters("incarnations_total", "Incarnations of the target by event.", "event"),
		unrecorded:        counter("operations_unrecorded_total", "Outcomes that could not be recorded."),
	}
	m.registry.MustRegister(
		m.requests, m.retries, m.returnedToIngress, m.aborted, m.exchangeErrors, m.heartbeats, m.incarnations, m.unrecorded,
		gauge("ingress_requests", "Requests of callers in progress.", func() float64 { return float64(n.ingressRequests.Load()) }),
		gauge("waiting_requests", "Requests that wait for an owner.", func() float64 { return float64(n.waitingRequests.Load()) }),
		gauge("table_age_milliseconds", "Time since the routing table was confirmed.", func() float64 { return float64(n.routing.age()) }),
		gauge("table_version", "Version of the routing table.", func() float64 { return float64(n.routing.snapshot().Version()) }),
		gauge("revision_in_force", "Revision of the configuration that the node routes by.", func() float64 { return float64(n.routing.snapshot().Revision()) }),
		gauge("lease_remaining_milliseconds", "Time that the lease still lasts.", n.leaseRemaining),
		gauge("control_sent_bytes", "Bytes sent to the control group.", func() float64 { s, _ := n.control.traffic(); return float64(s) }),
		gauge("control_received_bytes", "Bytes received from the control group.", func() float64 { _, r := n.control.traffic(); return float64(r) }),
		gauge("target_requests", "Requests on the owner's side.", n.targetRequests),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const namespace = "gentiansail_node"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, f func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f)
}

func (n *node) leaseRemaining() float64 {
	if m := n.targets.current(); m != nil {
		return float64(m.lease.Remaining())
	}
	return 0
}

func (n *node) targetRequests() float64 {
	if m := n.targets.current(); m != nil {
		count, _ := m.inFlight.count()
		return float64(count)
	}
	return 0
}
