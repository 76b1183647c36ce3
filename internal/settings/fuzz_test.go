package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validNode = `{
  "Group": "tz", "Name": "n1", "FailureDomain": "dsm-a",
  "CallerListen": "127.0.0.1:8001", "PeerListen": "127.0.0.1:8002",
  "TargetListen": "127.0.0.1:8003", "MetricsListen": "127.0.0.1:8004",
  "Advertise": "127.0.0.1:8002", /* for peers */
  "Control": ["127.0.0.1:7101", "[::1]:7102"],
}`

// problemLine matches an error message after the file name.
var problemLine = regexp.MustCompile(`^\d+: .+$`)

// Guards against a settings file that crashes the program, against errors without a
// line number, and against settings that change when they are encoded and loaded
// again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validControl))
	f.Add([]byte(validNode))
	f.Add([]byte(`{"Group": 3, "Replicas": {"a": null, "a": "x"}, "Control": [[]], "no": 1}`))
	f.Add([]byte(`{`))
	f.Add([]byte("{\n\"Group\": \"\n\"}"))
	f.Add([]byte(`{"a\nb": 1}`))
	file := filepath.Join(f.TempDir(), "settings.jsonc")
	f.Fuzz(func(t *testing.T, data []byte) {
		checkLoad(t, file, data, LoadControl)
		checkLoad(t, file, data, LoadNode)
	})
}

// checkLoad checks that load either rejects data with messages that have a line
// number, or returns settings that are the same after encoding and loading.
func checkLoad[T any](t *testing.T, file string, data []byte, load func(string) (T, error)) {
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	s, err := load(file)
	if err != nil {
		qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
		for _, line := range strings.Split(err.Error(), "\n") {
			message, hasFile := strings.CutPrefix(line, file+":")
			qt.Assert(t, hasFile && problemLine.MatchString(message), qt.IsTrue, qt.Commentf("%q", err.Error()))
		}
		return
	}
	encoded, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, encoded, 0o600), qt.IsNil)
	reloaded, err := load(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reloaded, qt.DeepEquals, s)
}
