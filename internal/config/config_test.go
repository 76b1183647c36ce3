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

const broken = "../../examples/broken"

// expected reads the errors that the comments of a broken example announce.
func expected(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
	qt.Assert(t, err, qt.IsNil)
	var out []string
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		for i, line := range strings.Split(string(data), "\n") {
			if _, message, ok := strings.Cut(line, "// error: "); ok {
				out = append(out, fmt.Sprintf("%s:%d: %s", f, i+1, message))
			}
		}
	}
	return strings.Join(out, "\n")
}

// Guards against an error that is not reported, is reported at another line, or
// hides those after it.
func TestBrokenExamplesReportEachErrorAtItsLine(t *testing.T) {
	folders, err := filepath.Glob(broken + "/*")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(folders) >= 10, qt.IsTrue)
	for _, f := range folders {
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, err := Load(f)
			qt.Assert(t, errors.Is(err, ErrInvalid), qt.IsTrue)
			qt.Assert(t, err.Error(), qt.Equals, expected(t, f))
		})
	}
}

// Guards against examples that the program refuses, on their own or as a change
// of themselves.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"donation-mesh", "trolley-mesh"} {
		c, err := Load("../../examples/" + name + "/config")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Services, qt.HasLen, 3)
		qt.Assert(t, CheckChange(c, c), qt.HasLen, 0)
	}
}

// Guards against an empty or misspelt folder being applied as an empty
// configuration, which would remove every service.
func TestFolderWithoutFilesIsRefused(t *testing.T) {
	_, err := Load(t.TempDir())
	qt.Assert(t, errors.Is(err, ErrRead), qt.IsTrue)
}

func TestCheckChange(t *testing.T) {
	service := func(keyed bool, partitions int) wire.Configuration {
		return wire.Configuration{Services: []wire.ServiceConfig{{Name: "finder", Keyed: keyed, Partitions: partitions}}}
	}
	tests := map[string]struct {
		from, to wire.Configuration
		refused  bool
	}{
		"same":          {service(true, 16), service(true, 16), false},
		"other count":   {service(true, 16), service(true, 32), true},
		"keys given up": {service(true, 16), service(false, 0), true},
		"keys added":    {service(false, 0), service(true, 16), true},
		"removed":       {service(true, 16), wire.Configuration{}, false},
		"added":         {wire.Configuration{}, service(true, 16), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, len(CheckChange(test.from, test.to)) > 0, qt.Equals, test.refused)
			if test.refused {
				qt.Assert(t, errors.Is(Validate(test.from, test.to), ErrInvalid), qt.IsTrue)
			}
		})
	}
}

// configurations generates accepted configurations.
func configurations() *rapid.Generator[wire.Configuration] {
	return rapid.Custom(func(t *rapid.T) wire.Configuration {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]([a-z0-9-]{0,6}[a-z0-9])?`), 1, 6, rapid.ID[string]).Draw(t, "names")
		c := normal(wire.Configuration{})
		for i, n := range names {
			c.Regions = append(c.Regions, wire.RegionConfig{Name: wire.Region(n), FailureDomains: []wire.FailureDomain{wire.FailureDomain(n)}})
			s := wire.ServiceConfig{Name: wire.ServiceName(n), Keyed: rapid.Bool().Draw(t, "keyed")}
			r := wire.RouteConfig{
				Name: wire.RouteName(n), Service: s.Name, Path: "/" + n, Class: rapid.SampledFrom(classes).Draw(t, "class"),
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

// Guards against the printed configuration differing from the accepted one, or
// being refused when an operator edits and applies it again.
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

// Guards against a file that stops the program, and against an accepted one that
// a control replica would refuse.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob(broken + "/*/*.jsonc")
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
		again, err := Parse([]File{{Name: "a.jsonc", Data: Format(c)}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, c)
	})
}
