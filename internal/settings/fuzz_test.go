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

const goodNode = `{
  "Group": "tz", "Name": "n1", "FailureDomain": "dsm-a",
  "CallerListen": "127.0.0.1:8001", "PeerListen": "127.0.0.1:8002",
  "TargetListen": "127.0.0.1:8003", "MetricsListen": "127.0.0.1:8004",
  "Advertise": "127.0.0.1:8002", /* of the peers */
  "Control": ["127.0.0.1:7101", "[::1]:7102"],
}`

var problemLine = regexp.MustCompile(`^\d+: .+$`)

// Guards against a settings file that stops the program without saying where it
// is wrong, and against accepted settings that mean something else when they are
// written down again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(goodControl))
	f.Add([]byte(goodNode))
	f.Add([]byte(`{"Group": 3, "Replicas": {"a": null, "a": "x"}, "Control": [[]], "no": 1}`))
	f.Add([]byte(`{`))
	f.Add([]byte("{\n\"Group\": \"\n\"}"))
	f.Add([]byte(`{"a\nb": 1}`))
	file := filepath.Join(f.TempDir(), "settings.jsonc")
	f.Fuzz(func(t *testing.T, data []byte) {
		check(t, file, data, LoadControl)
		check(t, file, data, LoadNode)
	})
}

func check[T any](t *testing.T, file string, data []byte, load func(string) (T, error)) {
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
	s, err := load(file)
	if err != nil {
		qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
		for _, line := range strings.Split(err.Error(), "\n") {
			text, named := strings.CutPrefix(line, file+":")
			qt.Assert(t, named && problemLine.MatchString(text), qt.IsTrue, qt.Commentf("%q", err.Error()))
		}
		return
	}
	written, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, written, 0o600), qt.IsNil)
	again, err := load(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.DeepEquals, s)
}
