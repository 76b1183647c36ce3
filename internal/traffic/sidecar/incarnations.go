package sidecar

import (
	"errors"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of incarnations.
var (
	// errLate means that a heartbeat was sent before one that has been handled.
	errLate = errors.New("a later heartbeat of the target was received before")
	// errFollowed means that another incarnation has started since.
	errFollowed = errors.New("another incarnation of the target has started since")
	// errUnproven means that an incarnation is not known to run yet.
	errUnproven = errors.New("another incarnation of the target was heard from shortly before")
)

const (
	// silencePercent is the share of the heartbeat interval after which an incarnation that
	// was not heard from may have ended.
	silencePercent = 150
	// proofPercent is the share of the heartbeat interval that two heartbeats must be apart
	// to prove that their sender runs. Delayed ones arrive together.
	proofPercent = 50
	// defaultInterval is the heartbeat interval if the settings state none.
	defaultInterval clock.Millis = 1000
	// maxFollowed bounds the followed incarnations that are remembered.
	maxFollowed = 64
)

// incarnations decides which incarnation of the target runs at the address beside the
// sidecar. At most one runs at a time, and an incarnation that was followed by another one
// never runs again, but its heartbeats may arrive late.
//
// Start times are from the wall clock of the host, which may be set back between two starts.
// So the order of start times decides nothing: an incarnation that is new to the sidecar
// follows the current one if that has fallen silent. It must prove that it runs by a second
// heartbeat if its start time is not the later one, because its first may have been delayed
// since before the current incarnation started. If only an earlier process of the sidecar has
// heard from the current one, a later start time suffices: after a loss of power the target
// starts together with the sidecar and serves nobody before it is known.
type incarnations struct {
	interval clock.Millis // between heartbeats

	mu sync.Mutex
	// current is the incarnation that runs, as far as is known; its ID is empty if none is.
	current message.Incarnation
	// sequence is that of the newest heartbeat of the current incarnation, heardAt when it
	// arrived. ended is true if its process is known to have ended.
	sequence int
	heardAt  clock.Millis
	ended    bool
	// answered is the version of the assignments in the newest response to the current
	// incarnation, and answeredBefore what it was when the newest heartbeat arrived.
	answered, answeredBefore message.Version
	// heard is false while only an earlier process of this sidecar has heard from the current
	// incarnation.
	heard bool
	// before is the incarnation that the current one followed.
	before message.Incarnation
	// followed are incarnations that were followed by others, oldest first.
	followed []message.Incarnation
	// candidate is an incarnation that has to prove that it runs, with the sequence of its
	// first heartbeat and when that arrived.
	candidate         message.Incarnation
	candidateSequence int
	candidateAt       clock.Millis
}

func newIncarnations(interval clock.Millis) *incarnations {
	if interval <= 0 {
		interval = defaultInterval
	}
	return &incarnations{interval: interval}
}

// expect makes an incarnation that the core lists the current one if none is known. It was
// heard from by an earlier process of this sidecar.
func (s *incarnations) expect(i message.Incarnation, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ID == "" {
		s.current, s.heardAt = i, now
	}
}

// admit records a heartbeat. It returns an error if the heartbeat must not be handled. begins
// is true for the first heartbeat of an incarnation.
func (s *incarnations) admit(i message.Incarnation, sequence int, now clock.Millis) (begins bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case i == s.current && sequence < s.sequence:
		return false, errLate
	case i == s.current:
		if sequence > s.sequence {
			s.answeredBefore = s.answered
		}
		s.sequence, s.heardAt, s.heard, s.ended, s.candidate = sequence, now, true, false, message.Incarnation{}
		return false, nil
	case slices.Contains(s.followed, i):
		return false, errFollowed
	case s.current.ID != "" && !s.mayFollow(i, sequence, now):
		return false, errUnproven
	}
	s.follow(i, now)
	s.sequence = sequence
	return true, nil
}

// mayFollow reports whether an incarnation that has not been current may follow the current
// one. The caller must hold s.mu.
func (s *incarnations) mayFollow(i message.Incarnation, sequence int, now clock.Millis) bool {
	startedLater := i.StartTime > s.current.StartTime
	if startedLater && !s.heard {
		return true
	}
	if !s.isSilent(now) {
		return false
	}
	if startedLater {
		return true
	}
	if i != s.candidate {
		s.candidate, s.candidateSequence, s.candidateAt = i, sequence, now
	}
	return sequence > s.candidateSequence && now-s.candidateAt >= s.interval*proofPercent/100
}

// isSilent reports whether the current incarnation may have ended. The caller must hold s.mu.
func (s *incarnations) isSilent(now clock.Millis) bool {
	return s.ended || now-s.heardAt >= s.interval*silencePercent/100
}

// follow makes an incarnation the current one. The caller must hold s.mu.
func (s *incarnations) follow(i message.Incarnation, now clock.Millis) {
	if s.current.ID != "" {
		s.followed = append(s.followed, s.current)
		s.followed = s.followed[max(len(s.followed)-maxFollowed, 0):]
	}
	s.before, s.current, s.candidate = s.current, i, message.Incarnation{}
	s.sequence, s.heardAt, s.heard, s.ended, s.answered, s.answeredBefore = 0, now, true, false, 0, 0
}

// answer records the version of a response that is about to be passed to an incarnation. It
// returns an error if the incarnation has got a response of a later version before: keys that
// it was told to release since must not be granted to it again.
func (s *incarnations) answer(i message.Incarnation, v message.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case i != s.current:
		return errFollowed
	case v < s.answered && v > 0: // leaders of earlier releases state none
		return errLate
	}
	s.answered = max(s.answered, v)
	return nil
}

// lastAnswer returns the version of the newest response that was passed to an incarnation
// before the given heartbeat arrived; 0 if it is not known, or if a newer heartbeat has arrived.
func (s *incarnations) lastAnswer(i message.Incarnation, sequence int) message.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i != s.current || sequence != s.sequence {
		return 0
	}
	return s.answeredBefore
}

// admitDeparture records that an incarnation says that it is gone, and returns that
// incarnation. A start time of 0 stands for the current incarnation of the id. current is
// false if the incarnation was followed by another one, so that nothing is left to be done.
func (s *incarnations) admitDeparture(i message.Incarnation, now clock.Millis) (_ message.Incarnation, current bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i.StartTime == 0 && i.ID == s.current.ID {
		i = s.current
	}
	switch {
	case i == s.current:
		return i, true, nil
	case slices.Contains(s.followed, i):
		return i, false, nil
	case s.current.ID != "" && !s.isSilent(now):
		return i, false, errUnproven
	}
	s.follow(i, now)
	return i, true, nil
}

// withdraw takes back that an incarnation follows another one, because the core knows that it
// was followed itself.
func (s *incarnations) withdraw(i message.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != i {
		return
	}
	before := s.before
	s.followed = slices.DeleteFunc(s.followed, func(x message.Incarnation) bool { return x == before })
	s.followed = append(s.followed, i)
	s.current, s.before, s.sequence, s.answered, s.answeredBefore = before, message.Incarnation{}, 0, 0, 0
}

// markEnded records that the process of an incarnation has ended.
func (s *incarnations) markEnded(i message.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == i {
		s.ended = true
	}
}

// predecessor returns the incarnation before the given one; nil if it is not known.
func (s *incarnations) predecessor(i message.Incarnation) *message.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != i || s.before.ID == "" {
		return nil
	}
	before := s.before
	return &before
}
