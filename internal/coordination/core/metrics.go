package core

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the counters of a replica.
type metrics struct {
	changes      *prometheus.CounterVec
	evacuations  *prometheus.CounterVec
	heartbeats   *prometheus.CounterVec
	leases       *prometheus.CounterVec
	keyDecisions *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer, c *Core) *metrics {
	factory := promauto.With(r)
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "gentiansail", Subsystem: "core", Name: name, Help: help}
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("leads", "1 while this replica leads.")), func() float64 {
		if c.isLeader() {
			return 1
		}
		return 0
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("votes", "1 while this replica is a voter as far as it knows.")), func() float64 {
		if c.IsVoter() {
			return 1
		}
		return 0
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("can_lose_replicas", "Replicas that the group could lose at once; -1 on one that does not lead.")), func() float64 {
		return float64(c.TolerableLosses())
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("term", "Term of the log.")), func() float64 {
		s, _ := c.quorum.Status()
		return float64(s.Term)
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("applied_entries", "Index of the last entry applied.")), func() float64 {
		s, _ := c.quorum.Status()
		return float64(s.AppliedIndex)
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts(opts("evacuated_domains", "Failure domains that are evacuated; -1 on a replica that does not lead.")), func() float64 {
		l, err := c.lead()
		if err != nil {
			return -1
		}
		return float64(len(l.machine.EvacuatedDomains()))
	})
	return &metrics{
		evacuations:  factory.NewCounterVec(prometheus.CounterOpts(opts("evacuation_orders_total", "Orders that begin or end the evacuation of a failure domain by kind and outcome.")), []string{"kind", "outcome"}),
		changes:      factory.NewCounterVec(prometheus.CounterOpts(opts("changes_total", "Changes of the configuration by outcome.")), []string{"outcome"}),
		heartbeats:   factory.NewCounterVec(prometheus.CounterOpts(opts("check_ins_total", "Check-ins of targets by outcome.")), []string{"outcome"}),
		leases:       factory.NewCounterVec(prometheus.CounterOpts(opts("leases_total", "Requests of sidecars for a lease of their target's keys by outcome.")), []string{"outcome"}),
		keyDecisions: factory.NewCounterVec(prometheus.CounterOpts(opts("key_decisions_total", "Decisions about keys by kind.")), []string{"kind"}),
	}
}

func (m *metrics) countResult(counter *prometheus.CounterVec, err error) {
	if err != nil {
		counter.WithLabelValues("error").Inc()
		return
	}
	counter.WithLabelValues("done").Inc()
}
