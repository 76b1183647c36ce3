package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sidecarSettings = `{
  // filled in by the platform
  "Name": "sidecar-a-1", "FailureDomain": "a", "IP": "10.0.0.1", "PeerPort": 7600,
  "Listen": {"Callers": "10.0.0.1:80", "Readiness": "10.0.0.1:81", "Control": "10.0.0.1:82"},
  "Seeds": ["10.0.0.9:82"], "FirstStart": true, "DataFolder": "",
  "Target": {"Address": "10.0.0.1:83", "Service": "catalogue"},
  "TolerateHosts": 2, "MemoryMegabytes": 284, "HeartbeatMillis": 870,
  "Bounds": {"MaxHoldMillis": 10000, "DrainMillis": 2000, "StopSeconds": 6, "RetryRatio": 0.2, "ExtraRetries": 64}
}`

func writeHostFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "host.jsonc")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

// Guards against invalid settings that take effect in part, and against errors that
// do not name the field.
func TestLoadHost(t *testing.T) {
	tests := map[string]struct {
		// old is replaced by new in sidecarSettings.
		old, new string
		core     bool
		// wantErr is part of the error message; empty for valid settings.
		wantErr string
	}{
		"sidecar":             {},
		"unknown field":       {old: `"Name"`, new: `"Nmae"`, wantErr: "Nmae"},
		"no seeds":            {old: `["10.0.0.9:82"]`, new: `[]`, wantErr: "Seeds: is empty"},
		"seed without port":   {old: `10.0.0.9:82`, new: `10.0.0.9`, wantErr: "Seeds"},
		"no target":           {old: `10.0.0.1:83`, new: ``, wantErr: "Target.Address: is missing"},
		"no service":          {old: `"catalogue"`, new: `""`, wantErr: "Target.Service: is missing"},
		"bad port":            {old: `7600`, new: `76000`, wantErr: "PeerPort: is not a port"},
		"second copies":       {old: `"TolerateHosts"`, new: `"SecondCopies": {"Ratio": 0.05, "Burst": 20, "CallsPerRun": {"browse": 2}}, "TolerateHosts"`},
		"too many copies":     {old: `"TolerateHosts"`, new: `"SecondCopies": {"Ratio": 0.6}, "TolerateHosts"`, wantErr: "SecondCopies.Ratio: is not between 0 and 0.5"},
		"negative burst":      {old: `"TolerateHosts"`, new: `"SecondCopies": {"Ratio": 0.1, "Burst": -1}, "TolerateHosts"`, wantErr: "SecondCopies.Burst: is negative"},
		"negative calls":      {old: `"TolerateHosts"`, new: `"SecondCopies": {"CallsPerRun": {"browse": -1}}, "TolerateHosts"`, wantErr: "SecondCopies.CallsPerRun"},
		"core without folder": {core: true, wantErr: "DataFolder: is missing"},
		"core":                {core: true, old: `"DataFolder": ""`, new: `"DataFolder": "/data"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			load := LoadSidecar
			if tt.core {
				load = LoadCore
			}
			s, err := load(writeHostFile(t, strings.Replace(sidecarSettings, tt.old, tt.new, 1)))
			if tt.wantErr != "" {
				qt.Assert(t, err, qt.ErrorIs, ErrInvalid)
				qt.Assert(t, err.Error(), qt.Contains, tt.wantErr)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.Bounds.ExtraRetries, qt.Equals, 64)
		})
	}
}

// Guards against settings that a deployment tool writes without optional fields and that
// cannot be loaded again.
func TestLoadMarshalledHost(t *testing.T) {
	want, err := LoadSidecar(writeHostFile(t, sidecarSettings))
	qt.Assert(t, err, qt.IsNil)
	text, err := json.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	got, err := LoadSidecar(writeHostFile(t, string(text)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)
}
