package state

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// maxSuspects bounds the number of suspects that are not in quarantine.
	maxSuspects = 1024
	// maxQuarantined bounds the number of requests in quarantine. At the limit, further
	// requests remain suspects, each of which runs alone on its target.
	maxQuarantined = 4096
)

// suspect is a request that was in flight when a target crashed. It includes the
// incarnation that crashed, so that a resent report does not count as a second crash.
type suspect struct {
	wire.Suspect
	Incarnation wire.Incarnation
}

// recordSuspects records the requests that were in flight at a crashed target as
// suspects. A suspect that was the only request in flight at a second crash is its cause,
// and goes into quarantine. If other requests were in flight too, the cause remains
// unknown, and the suspect stays a suspect.
func (m *Machine) recordSuspects(d wire.MemberDown, s wire.ServiceName) {
	onlyRequest := len(d.InFlight) == 1
	var c tableChange
	for _, f := range d.InFlight {
		old, known := m.Suspects[f.Fingerprint]
		switch {
		case !known:
			m.addSuspect(d, f, s)
		case old.Incarnation == d.Incarnation || old.Quarantined:
			continue
		case onlyRequest && m.countQuarantined() < maxQuarantined:
			old.Quarantined = true
			m.Suspects[f.Fingerprint] = old
			m.recordAudit(string(d.Incarnation), "request quarantined: "+f.Path, string(f.Fingerprint), string(f.Fingerprint))
		default:
			continue
		}
		c.Suspects = append(c.Suspects, f.Fingerprint)
	}
	c.Suspects = append(c.Suspects, m.pruneSuspects()...)
	if len(c.Suspects) > 0 {
		m.recordChange(c)
	}
}

func (m *Machine) addSuspect(d wire.MemberDown, f wire.InFlight, s wire.ServiceName) {
	m.Suspects[f.Fingerprint] = suspect{
		Suspect:     wire.Suspect{Fingerprint: f.Fingerprint, Service: s, Route: f.Route, Path: f.Path, Since: m.Now},
		Incarnation: d.Incarnation,
	}
	m.recordAudit(string(d.Incarnation), "request suspected: "+f.Path, "", string(f.Fingerprint))
}

func (m *Machine) countQuarantined() int {
	n := 0
	for _, s := range m.Suspects {
		if s.Quarantined {
			n++
		}
	}
	return n
}

// pruneSuspects deletes the oldest suspects above maxSuspects, and returns their
// fingerprints. It keeps all requests in quarantine.
func (m *Machine) pruneSuspects() []wire.Fingerprint {
	var candidates []wire.Fingerprint
	for f, s := range m.Suspects {
		if !s.Quarantined {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) <= maxSuspects {
		return nil
	}
	slices.SortFunc(candidates, func(a, b wire.Fingerprint) int {
		return compareTimeThenID(m.Suspects[a].Since, m.Suspects[b].Since, a, b)
	})
	dropped := candidates[:len(candidates)-maxSuspects]
	for _, f := range dropped {
		delete(m.Suspects, f)
	}
	return dropped
}

// clearSuspect removes a suspect after the request ran alone and its target, which must
// still be a live member, did not crash.
func (m *Machine) clearSuspect(r wire.ClearSuspectRequest) error {
	s, ok := m.Suspects[r.Fingerprint]
	if !ok {
		return nil
	}
	v, live := m.Members[r.Incarnation]
	switch {
	case !live:
		return merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s is not live", r.Incarnation))
	case s.Quarantined:
		return merry.Wrap(ErrStale, merry.AppendMessage("request is in quarantine"))
	}
	m.removeSuspect(r.Fingerprint)
	m.recordAudit(string(v.Node), "suspect cleared: "+s.Path, string(r.Fingerprint), "")
	return nil
}

// releaseQuarantine removes a suspect or quarantined request on behalf of an operator.
func (m *Machine) releaseQuarantine(r wire.ReleaseRequest) error {
	s, ok := m.Suspects[r.Fingerprint]
	if !ok {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("fingerprint %q", r.Fingerprint))
	}
	m.removeSuspect(r.Fingerprint)
	m.recordAudit(string(r.Operator), "request released: "+s.Path, string(r.Fingerprint), "")
	return nil
}

func (m *Machine) removeSuspect(f wire.Fingerprint) {
	delete(m.Suspects, f)
	m.recordChange(tableChange{Suspects: []wire.Fingerprint{f}})
}

// SuspectList returns the suspects, including those in quarantine, in the order of their
// fingerprints.
func (m *Machine) SuspectList() []wire.Suspect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.suspectsInOrder(slices.Sorted(maps.Keys(m.Suspects)))
}

func (m *Machine) suspectsInOrder(fingerprints []wire.Fingerprint) []wire.Suspect {
	out := []wire.Suspect{}
	for _, f := range fingerprints {
		out = append(out, m.Suspects[f].Suspect)
	}
	return out
}
