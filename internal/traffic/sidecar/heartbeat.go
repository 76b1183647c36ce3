package sidecar

import (
	"fmt"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits of the fields of a heartbeat. A heartbeat may come from another writer than the
// target, and what it says is replicated and published to all hosts.
const (
	// maxIDBytes bounds the id of a target, which is sent in a header field with each request.
	maxIDBytes = 256
	// maxSlots is far above the number of requests that a target can process concurrently.
	maxSlots = 1 << 16
	// maxSequence is reached by a target that sends 12 heartbeats a second after five years.
	maxSequence = 1 << 31
	// maxColdMillis is far above the length of a cold start.
	maxColdMillis clock.Millis = 600_000
	// maxExactInteger is the largest integer that all JSON decoders read exactly.
	maxExactInteger = 1 << 53
	// maxHandoverBytes bounds a handover token, which is part of a response of at most 4 KiB.
	maxHandoverBytes = 256
)

// checkTarget reports an error if a heartbeat is not from the target in the settings.
func (s *Sidecar) checkTarget(h Heartbeat) error {
	target := s.options.Settings.Target
	if string(h.Service) != target.Service || string(h.Address) != target.Address {
		return fmt.Errorf("service %.64q at %.64q is not %q at %q as in the settings", h.Service, h.Address, target.Service, target.Address)
	}
	return nil
}

// validate reports an error if a field is out of range.
func (h Heartbeat) validate() error {
	if err := validateIncarnation(h.Incarnation); err != nil {
		return err
	}
	switch {
	case h.Slots <= 0 || h.Slots > maxSlots:
		return fmt.Errorf("%d slots, but there may be 1 to %d", h.Slots, maxSlots)
	case h.Sequence < 0 || h.Sequence > maxSequence:
		return fmt.Errorf("number %d of the heartbeat is not within 0 and %d", h.Sequence, maxSequence)
	case h.ColdMillis < 0 || h.ColdMillis > maxColdMillis:
		return fmt.Errorf("cold for %d ms, which is not within 0 and %d", h.ColdMillis, maxColdMillis)
	}
	for _, list := range [][]message.RangeGrant{h.Grants, h.Released} {
		for _, g := range list {
			if err := validateRange(g); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateIncarnation(i message.Incarnation) error {
	switch {
	case i.ID == "" || len(i.ID) > maxIDBytes || !isHeaderValue(string(i.ID)):
		return fmt.Errorf("the id does not have 1 to %d printable ASCII characters", maxIDBytes)
	case i.StartTime < 0 || i.StartTime > maxExactInteger:
		return fmt.Errorf("start time %d is not within 0 and %d", i.StartTime, maxExactInteger)
	}
	return nil
}

func validateRange(g message.RangeGrant) error {
	switch {
	case g.From < 0 || g.To < g.From || g.To >= keyrange.Keys:
		return fmt.Errorf("%d to %d is no range of keys from 0 to %d", g.From, g.To, keyrange.Keys-1)
	case g.FencingToken < 0 || g.FencingToken > maxExactInteger:
		return fmt.Errorf("fencing token %d is not within 0 and %d", g.FencingToken, maxExactInteger)
	case len(g.HandoverToken) > maxHandoverBytes:
		return fmt.Errorf("handover token of %d bytes, but it may have %d", len(g.HandoverToken), maxHandoverBytes)
	}
	return nil
}

// isHeaderValue reports whether a text has printable ASCII characters only.
func isHeaderValue(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
