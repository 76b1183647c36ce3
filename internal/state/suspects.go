package state

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// maxSuspects bounds the suspects that are not in quarantine.
	maxSuspects = 1024
	// maxQuarantined bounds the quarantine; past it, suspects stay suspects and
	// run alone.
	maxQuarantined = 4096
)

// suspect is a request that was in flight when a target died, with the
// incarnation that died, so that a resent report does not count as a second
// death.
type suspect struct {
	wire.Suspect
	Incarnation wire.Incarnation
}

// suspectAll records the requests in flight at a dead target. A suspect that was
// alone on a second dead target is the cause: it goes into quarantine. A suspect
// that shared the second target proves nothing and stays a suspect.
func (m *Machine) suspectAll(d wire.MemberDown, s wire.ServiceName) {
	alone := len(d.InFlight) == 1
	var c change
	for _, f := range d.InFlight {
		old, known := m.Suspects[f.Fingerprint]
		switch {
		case !known:
			m.addSuspect(d, f, s)
		case old.Incarnation == d.Incarnation || old.Quarantined:
			continue
		case alone && m.quarantined() < maxQuarantined:
			old.Quarantined = true
			m.Suspects[f.Fingerprint] = old
			m.audit(string(d.Incarnation), "request quarantined: "+f.Path, string(f.Fingerprint), string(f.Fingerprint))
		default:
			continue
		}
		c.Suspects = append(c.Suspects, f.Fingerprint)
	}
	c.Suspects = append(c.Suspects, m.pruneSuspects()...)
	if len(c.Suspects) > 0 {
		m.change(c)
	}
}

func (m *Machine) addSuspect(d wire.MemberDown, f wire.InFlight, s wire.ServiceName) {
	m.Suspects[f.Fingerprint] = suspect{
		Suspect:     wire.Suspect{Fingerprint: f.Fingerprint, Service: s, Route: f.Route, Path: f.Path, Since: m.Now},
		Incarnation: d.Incarnation,
	}
	m.audit(string(d.Incarnation), "request suspected: "+f.Path, "", string(f.Fingerprint))
}

func (m *Machine) quarantined() int {
	n := 0
	for _, s := range m.Suspects {
		if s.Quarantined {
			n++
		}
	}
	return n
}

func (m *Machine) pruneSuspects() []wire.Fingerprint {
	var open []wire.Fingerprint
	for f, s := range m.Suspects {
		if !s.Quarantined {
			open = append(open, f)
		}
	}
	if len(open) <= maxSuspects {
		return nil
	}
	slices.SortFunc(open, func(a, b wire.Fingerprint) int {
		return compareBy(m.Suspects[a].Since, m.Suspects[b].Since, a, b)
	})
	dropped := open[:len(open)-maxSuspects]
	for _, f := range dropped {
		delete(m.Suspects, f)
	}
	return dropped
}

// clearSuspect ends a suspicion after the request ran alone and its target, a
// live member, survived.
func (m *Machine) clearSuspect(r wire.ClearSuspectRequest) error {
	s, ok := m.Suspects[r.Fingerprint]
	if !ok {
		return nil
	}
	v, alive := m.Members[r.Incarnation]
	switch {
	case !alive:
		return merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s is gone", r.Incarnation))
	case s.Quarantined:
		return merry.Wrap(ErrStale, merry.AppendMessage("request is in quarantine"))
	}
	m.dropSuspect(r.Fingerprint)
	m.audit(string(v.Node), "suspect cleared: "+s.Path, string(r.Fingerprint), "")
	return nil
}

func (m *Machine) releaseQuarantine(r wire.ReleaseRequest) error {
	s, ok := m.Suspects[r.Fingerprint]
	if !ok {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("fingerprint %q", r.Fingerprint))
	}
	m.dropSuspect(r.Fingerprint)
	m.audit(string(r.Operator), "request released: "+s.Path, string(r.Fingerprint), "")
	return nil
}

func (m *Machine) dropSuspect(f wire.Fingerprint) {
	delete(m.Suspects, f)
	m.change(change{Suspects: []wire.Fingerprint{f}})
}

// SuspectList returns suspects and quarantined requests in the order of their
// fingerprints.
func (m *Machine) SuspectList() []wire.Suspect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.suspectList(slices.Sorted(maps.Keys(m.Suspects)))
}

func (m *Machine) suspectList(fs []wire.Fingerprint) []wire.Suspect {
	out := []wire.Suspect{}
	for _, f := range fs {
		out = append(out, m.Suspects[f].Suspect)
	}
	return out
}
