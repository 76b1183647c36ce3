package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/wire"
)

const brokenExamples = "../../examples/broken"

// expectedErrors returns the errors that the "// error:" comments of a broken example
// declare, in the format of ErrInvalid.
func expectedErrors(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
	qt.Assert(t, err, qt.IsNil)
	var messages []string
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		for i, line := range strings.Split(string(data), "\n") {
			if _, message, ok := strings.Cut(line, "// error: "); ok {
				messages = append(messages, fmt.Sprintf("%s:%d: %s", f, i+1, message))
			}
		}
	}
	return strings.Join(messages, "\n")
}

// Guards against an error that is not reported, is reported at the wrong line, or
// suppresses later errors.
func TestBrokenExamplesReportEachErrorAtItsLine(t *testing.T) {
	folders, err := filepath.Glob(brokenExamples + "/*")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(folders) >= 10, qt.IsTrue)
	for _, f := range folders {
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, err := Load(f)
			qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
			qt.Assert(t, err.Error(), qt.Equals, expectedErrors(t, f))
		})
	}
}

// Guards against shipped examples that Load rejects, and against CheckChange
// rejecting a configuration that does not change.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"donation-mesh", "trolley-mesh"} {
		c, err := Load("../../examples/" + name + "/config")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Services, qt.HasLen, 3)
		qt.Assert(t, CheckChange(c, c), qt.HasLen, 0)
	}
}

// Guards against a folder without files, such as one with a misspelt name, being
// applied as an empty configuration, which would remove every service.
func TestFolderWithoutFilesIsRefused(t *testing.T) {
	_, err := Load(t.TempDir())
	qt.Assert(t, errors.Is(err, ErrRead), qt.IsTrue)
}

func TestCheckChange(t *testing.T) {
	withService := func(keyed bool, partitions int) wire.Configuration {
		return wire.Configuration{Services: []wire.ServiceConfig{{Name: "finder", Keyed: keyed, Partitions: partitions}}}
	}
	tests := map[string]struct {
		current, next wire.Configuration
		rejected      bool
	}{
		"unchanged":                  {withService(true, 16), withService(true, 16), false},
		"other number of partitions": {withService(true, 16), withService(true, 32), true},
		"keyed to unkeyed":           {withService(true, 16), withService(false, 0), true},
		"unkeyed to keyed":           {withService(false, 0), withService(true, 16), true},
		"service removed":            {withService(true, 16), wire.Configuration{}, false},
		"service added":              {wire.Configuration{}, withService(true, 16), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, len(CheckChange(test.current, test.next)) > 0, qt.Equals, test.rejected)
			if test.rejected {
				qt.Assert(t, errors.Is(Validate(test.current, test.next), ErrInvalid), qt.IsTrue)
			}
		})
	}
}

// configurations generates valid configurations.
func configurations() *rapid.Generator[wire.Configuration] {
	return rapid.Custom(func(t *rapid.T) wire.Configuration {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]([a-z0-9-]{0,6}[a-z0-9])?`), 1, 6, rapid.ID[string]).Draw(t, "names")
		c := replaceNilLists(wire.Configuration{})
		for i, name := range names {
			c.Regions = append(c.Regions, wire.RegionConfig{Name: wire.Region(name), FailureDomains: []wire.FailureDomain{wire.FailureDomain(name)}})
			s := wire.ServiceConfig{Name: wire.ServiceName(name), Keyed: rapid.Bool().Draw(t, "keyed")}
			r := wire.RouteConfig{
				Name: wire.RouteName(name), Service: s.Name, Path: "/" + name, Class: rapid.SampledFrom(classes).Draw(t, "class"),
				Methods:        []string{rapid.SampledFrom([]string{"POST", "PUT"}).Draw(t, "method")},
				DeadlineMillis: wire.Millis(rapid.IntRange(1, int(maxDeadlineMillis)).Draw(t, "deadline")),
			}
			if s.Keyed {
				s.Partitions = rapid.IntRange(1, MaxPartitions).Draw(t, "partitions")
				s.MoveBudget = rapid.IntRange(1, maxMoveBudget).Draw(t, "budget")
				r.Key = &wire.KeySource{From: wire.KeyLocationQuery, Name: rapid.StringN(1, 8, 32).Draw(t, "query")}
			}
			c.Services = append(c.Services, s)
			c.Routes = append(c.Routes, r)
			if i < len(classes) {
				c.CallerLimits = append(c.CallerLimits, wire.CallerLimit{Class: classes[i], RequestsPerSecond: rapid.Float64Range(0.001, 1e9).Draw(t, "limit")})
			}
		}
		return c
	})
}

// Guards against a printed configuration that differs from the configuration in
// force, or that is rejected when an operator edits and applies it.
func TestFormattedConfigurationParsesToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := configurations().Draw(t, "configuration")
		got, err := Parse([]File{{Name: "all.jsonc", Data: Format(c)}})
		if err != nil {
			t.Fatal(err)
		}
		if diff := qt.DeepEquals.Check(got, []any{c}, func(string, any) {}); diff != nil {
			t.Fatal(diff)
		}
	})
}

// Guards against a file that crashes the parser, and against a file that Parse accepts
// but a control replica rejects.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob(brokenExamples + "/*/*.jsonc")
	for _, name := range files {
		data, _ := os.ReadFile(name)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse([]File{{Name: "a.jsonc", Data: data}})
		if err != nil {
			return
		}
		qt.Assert(t, Check(c), qt.HasLen, 0)
		reparsed, err := Parse([]File{{Name: "a.jsonc", Data: Format(c)}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reparsed, qt.DeepEquals, c)
	})
}
