package state_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/state"
)

// Guards against a snapshot that is accepted and stops the replica at a later
// command: a null map, an operation whose record cannot be read, and operations
// that are not in the order of their keys.
func TestRestoreRefusesWhatCommandsCannotUse(t *testing.T) {
	first, second := string(key(day, 1)), string(key(day, 2))
	tests := map[string]struct {
		text    string
		refused bool
	}{
		"in order":          {`{"Group":"tz"}` + "\n" + first + " {}\n" + second + " {}\n", false},
		"null map":          {`{"Group":"tz","Members":null}` + "\n", true},
		"record is a list":  {`{"Group":"tz"}` + "\n" + first + " []\n", true},
		"field of a record": {`{"Group":"tz"}` + "\n" + first + ` {"Service":5}` + "\n", true},
		"not in order":      {`{"Group":"tz"}` + "\n" + second + " {}\n" + first + " {}\n", true},
		"twice":             {`{"Group":"tz"}` + "\n" + first + " {}\n" + first + " {}\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := newGroup().machine.Restore([]byte(tt.text))
			qt.Assert(t, errors.Is(err, state.ErrSnapshot), qt.Equals, tt.refused, qt.Commentf("%v", err))
		})
	}
}
