package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// writeFile writes text to a settings file and returns its name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.jsonc")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

const validControl = `{
  "Group": "tz", "Name": "dsm-a-control",
  "Listen": "127.0.0.1:7101", // requests
  "MetricsListen": "127.0.0.1:7102",
  "DataFolder": "data",
  "FailureDomain": "dsm-a",
  "Replicas": {"dsm-a-control": "127.0.0.1:7101"},
}`

func TestLoadControl(t *testing.T) {
	file := writeFile(t, validControl)
	s, err := LoadControl(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s, qt.DeepEquals, Control{
		Group: "tz", Name: "dsm-a-control", Listen: "127.0.0.1:7101", MetricsListen: "127.0.0.1:7102",
		DataFolder: filepath.Join(filepath.Dir(file), "data"), FailureDomain: "dsm-a",
		Replicas: map[wire.ReplicaID]wire.Address{"dsm-a-control": "127.0.0.1:7101"},
	})
}

// Guards against shipped examples that are rejected.
func TestExamplesAreValid(t *testing.T) {
	for mesh, nodes := range map[string]int{"donation-mesh": 13, "trolley-mesh": 11} {
		files, err := filepath.Glob("../../examples/" + mesh + "/settings/node/*.jsonc")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.HasLen, nodes)
		for _, f := range files {
			_, err := LoadNode(f)
			qt.Assert(t, err, qt.IsNil)
		}
		files, err = filepath.Glob("../../examples/" + mesh + "/settings/control/*.jsonc")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, files, qt.HasLen, 3)
		for _, f := range files {
			_, err := LoadControl(f)
			qt.Assert(t, err, qt.IsNil)
		}
	}
}

// Guards against a process that opens files or ports before it rejects its
// settings, and against errors that are reported one at a time.
func TestErrorsAreReportedTogether(t *testing.T) {
	loadControl := func(file string) error { _, err := LoadControl(file); return err }
	loadNode := func(file string) error { _, err := LoadNode(file); return err }
	tests := map[string]struct {
		load func(string) error
		text string
		want []string
	}{
		"control": {loadControl, `{
  "Group": "tz", "Name": "a",
  "Listen": "localhost:7101",
  "MetricsListen": "127.0.0.1:0",
  "FailureDomain": 3,
  "Replicas": {
    "b": "0.0.0.0:7101",
    "c": "127.0.0.1:7103",
    "d": "127.0.0.1:7103"
  }
}`, []string{
			`1: DataFolder: is missing`,
			`3: Listen: "localhost:7101" is not IP:port`,
			`4: MetricsListen: "127.0.0.1:0" has no port`,
			`5: FailureDomain: must be a string`,
			`6: Replicas: does not name this replica, "a"`,
			`7: Replicas.b: "0.0.0.0:7101" names no host: others could not connect to it`,
			`9: Replicas.d: 127.0.0.1:7103 is already the address of c`,
		}},
		"node": {loadNode, `{
  "Group": "tz", "Name": "Node 1", "FailureDomain": "dsm-a",
  "CallerListen": "127.0.0.1:8001", "PeerListen": "127.0.0.1:8001",
  "TargetListen": "127.0.0.1:8003", "MetricsListen": "127.0.0.1:8004",
  "advertise": "127.0.0.1:8002",
  "Control": [
    "127.0.0.1:7101",
    "127.0.0.1:7101"
  ]
}`, []string{
			`1: Advertise: is missing`,
			`2: Name: "Node 1" is not a name: up to 63 lower-case letters, digits and inner hyphens`,
			`3: PeerListen: 127.0.0.1:8001 is already the address of CallerListen`,
			`5: advertise: unknown field`,
			`8: Control[1]: 127.0.0.1:7101 is given twice`,
		}},
		"line break in a literal": {loadControl, "{\n\"Group\": \"\n\"}", []string{`2: invalid literal: "\n"`}},
		"line break in a name": {loadControl, `{"a\nb": 1}`, []string{
			`1: a\nb: unknown field`, `1: Group: is missing`, `1: Name: is missing`, `1: FailureDomain: is missing`,
			`1: Listen: is missing`, `1: MetricsListen: is missing`, `1: DataFolder: is missing`,
			`1: Replicas: must name at least one replica`,
		}},
		"syntax": {loadControl, "{\n\"Group\"\n}", []string{`3: invalid character '}' after object name`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := writeFile(t, test.text)
			err := test.load(file)
			qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
			got := strings.ReplaceAll(err.Error(), file+":", "")
			qt.Assert(t, strings.Split(got, "\n"), qt.DeepEquals, test.want)
		})
	}
}
