package replog

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// operation is a completed client call on a state machine that is a list of commands.
// start and end are event numbers.
type operation struct {
	start, end int
	// position is the 1-based position of a written command in the committed order, or
	// the number of commands that a read returned.
	position int
	read     bool
}

// checkHistory returns an error if the history is not linearizable. The committed order
// is known, so it is enough to check that no operation has a lower position than an
// operation that ended before it began, and that no write has the same position as
// such an operation.
func checkHistory(ops []operation) error {
	byEnd := slices.SortedFunc(slices.Values(ops), func(a, b operation) int { return a.end - b.end })
	byStart := slices.SortedFunc(slices.Values(ops), func(a, b operation) int { return a.start - b.start })
	// highest is the operation with the highest position among those that ended before
	// b began.
	var highest operation
	for _, b := range byStart {
		for len(byEnd) > 0 && byEnd[0].end < b.start {
			if byEnd[0].position > highest.position {
				highest = byEnd[0]
			}
			byEnd = byEnd[1:]
		}
		if b.position < highest.position || (!b.read && b.position == highest.position) {
			return fmt.Errorf("%+v ended before %+v began, but comes after it in the committed order", highest, b)
		}
	}
	return nil
}

// Guards against a checker that accepts a history that is not linearizable.
func TestCheckHistory(t *testing.T) {
	write := func(start, end, place int) operation { return operation{start, end, place, false} }
	read := func(start, end, place int) operation { return operation{start, end, place, true} }
	tests := map[string]struct {
		ops []operation
		ok  bool
	}{
		"read sees the write before it":     {[]operation{write(1, 2, 1), read(3, 4, 1)}, true},
		"concurrent read sees old state":    {[]operation{write(1, 4, 1), read(2, 3, 0)}, true},
		"stale read":                        {[]operation{write(1, 2, 1), read(3, 4, 0)}, false},
		"read goes back":                    {[]operation{write(1, 9, 1), read(2, 3, 1), read(4, 5, 0)}, false},
		"write ordered before an older one": {[]operation{write(1, 2, 2), write(3, 4, 1)}, false},
		"read sees a write from the future": {[]operation{read(1, 2, 1), write(3, 4, 1)}, false},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, checkHistory(x.ops) == nil, qt.Equals, x.ok)
		})
	}
}
