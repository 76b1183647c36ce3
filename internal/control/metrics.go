package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/state"
)

// metrics are the counters of a control replica.
type metrics struct {
	leading            prometheus.Gauge
	confirmRounds      prometheus.Counter
	heartbeats         *prometheus.CounterVec
	proposals          *prometheus.CounterVec
	operations         *prometheus.CounterVec
	expiredLeases      prometheus.Counter
	stalls             prometheus.Counter
	cancelledMoves     prometheus.Counter
	assignedPartitions prometheus.Counter
	plannedMoves       prometheus.Counter
	releasedPartitions prometheus.Counter
	overrideChanges    prometheus.Counter
}

func newMetrics(r *prometheus.Registry, m *state.Machine) *metrics {
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "gentiansail", Subsystem: "control", Name: name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Namespace: "gentiansail", Subsystem: "control", Name: name, Help: help}, []string{label})
	}
	gauge := func(name, help string, read func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "gentiansail", Subsystem: "control", Name: name, Help: help}, read)
	}
	gauge("version", "Index of the last applied log entry.", func() float64 { return float64(m.Version()) })
	gauge("revision", "Revision of the accepted configuration.", func() float64 { v, _ := m.Config(); return float64(v) })
	gauge("members", "Live members.", func() float64 { return float64(len(m.MemberList())) })
	gauge("unowned_partitions", "Partitions without an owner.", func() float64 { return float64(countUnowned(m)) })
	return &metrics{
		leading:            f.NewGauge(prometheus.GaugeOpts{Namespace: "gentiansail", Subsystem: "control", Name: "leading", Help: "1 while this replica leads."}),
		confirmRounds:      counter("confirm_rounds_total", "Rounds that confirmed leadership for waiting calls."),
		heartbeats:         vector("heartbeats_total", "Heartbeats by result.", "result"),
		proposals:          vector("proposals_total", "Commands by result.", "result"),
		operations:         vector("operations_total", "Operations that must not repeat, by decision.", "decision"),
		expiredLeases:      counter("expired_leases_total", "Members ended because their lease expired."),
		cancelledMoves:     counter("cancelled_moves_total", "Planned moves cancelled because the owner's requests took too long."),
		stalls:             counter("stalls_total", "Times at which the leader's duties were late and expiry was delayed."),
		assignedPartitions: counter("assigned_partitions_total", "Unowned partitions given to a member."),
		plannedMoves:       counter("planned_moves_total", "Planned moves started."),
		releasedPartitions: counter("released_partitions_total", "Partitions released by their owners."),
		overrideChanges:    counter("override_changes_total", "Overrides of hot keys set or cleared."),
	}
}

func (m *metrics) countHeartbeat(rejection string) {
	if rejection == "" {
		m.heartbeats.WithLabelValues("granted").Inc()
		return
	}
	m.heartbeats.WithLabelValues("refused").Inc()
}

func (m *metrics) countProposal(rejection error) {
	if rejection == nil {
		m.proposals.WithLabelValues("applied").Inc()
		return
	}
	m.proposals.WithLabelValues("refused").Inc()
}
