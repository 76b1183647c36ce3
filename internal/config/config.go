// Package config reads and validates the configuration that operators write:
// regions, services, routes and limits.
//
// A configuration is a folder of *.jsonc files (JSON with comments). The files are
// read in the order of their names and their lists are concatenated. The folder is
// accepted or rejected as a whole, and all its errors are reported together, each
// as file:line: field: message.
//
// Control replicas run the same checks on each configuration that they receive,
// because the sender may be a program of another version.
//
// # Usage
//
//	c, err := config.Load("examples/donation-mesh/config")
//
// On a control replica:
//
//	err := config.Validate(current, next)
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/jsonc"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Errors of this package.
var (
	// ErrRead means that the folder or a file could not be read.
	ErrRead = merry.Sentinel("cannot read the configuration")
	// ErrInvalid means that the configuration is rejected. The message lists all
	// errors, one per line.
	ErrInvalid = merry.Sentinel("invalid configuration")
)

// fileSuffix is the suffix of configuration files.
const fileSuffix = ".jsonc"

// File is one file of a configuration.
type File struct {
	// Name is used in error messages.
	Name string
	Data []byte
}

// Load reads and checks all *.jsonc files of the folder. The error is ErrRead or
// ErrInvalid.
func Load(folder string) (wire.Configuration, error) {
	names, err := filepath.Glob(filepath.Join(escapeGlob(folder), "*"+fileSuffix))
	if err != nil {
		return wire.Configuration{}, merry.Wrap(ErrRead, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if len(names) == 0 {
		return wire.Configuration{}, merry.Wrap(ErrRead, merry.AppendMessagef("no *%s files in folder %q", fileSuffix, folder))
	}
	var files []File
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			return wire.Configuration{}, merry.Wrap(ErrRead, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		files = append(files, File{Name: n, Data: data})
	}
	return Parse(files)
}

// escapeGlob escapes the folder's name so that filepath.Glob matches it literally.
func escapeGlob(folder string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(folder)
}

// Parse merges the files in the given order and checks the result. The error is
// ErrInvalid.
func Parse(files []File) (wire.Configuration, error) {
	m := merger{origins: make(map[string]origin)}
	for _, f := range files {
		m.add(f)
	}
	problems := m.problems
	if !m.parseFailed {
		problems = append(problems, m.checkMerged()...)
	}
	if err := problems.Err(); err != nil {
		return wire.Configuration{}, merry.Wrap(ErrInvalid, merry.WithMessage(err.Error()))
	}
	return m.merged, nil
}

// Format returns c as the contents of one file, which Parse accepts.
func Format(c wire.Configuration) []byte {
	data, err := json.MarshalIndent(replaceNilLists(c), "", "  ")
	if err != nil {
		// Only infinite or NaN floats fail, and check rejects them.
		return []byte(err.Error())
	}
	return append(data, '\n')
}

// replaceNilLists returns c with empty lists in place of nil ones, which JSON would
// encode as null.
func replaceNilLists(c wire.Configuration) wire.Configuration {
	c.Regions = append([]wire.RegionConfig{}, c.Regions...)
	c.Services = append([]wire.ServiceConfig{}, c.Services...)
	c.Routes = append([]wire.RouteConfig{}, c.Routes...)
	c.CallerLimits = append([]wire.CallerLimit{}, c.CallerLimits...)
	for i, r := range c.Regions {
		c.Regions[i].FailureDomains = append([]wire.FailureDomain{}, r.FailureDomains...)
	}
	for i, r := range c.Routes {
		c.Routes[i].Methods = append([]string{}, r.Methods...)
	}
	return c
}

// origin is the position in its file of an element of a merged list.
type origin struct {
	lines jsonc.FieldLines
	// path is the element's field path in its file.
	path string
}

// merger merges files into one configuration and records the origin of each
// element.
type merger struct {
	merged wire.Configuration
	// origins maps field paths in the merged configuration to their origins.
	origins  map[string]origin
	problems jsonc.Problems
	// parseFailed is true if a file cannot be parsed. Its declarations are unknown,
	// so checks that involve several declarations would report false errors.
	parseFailed bool
}

func (m *merger) add(f File) {
	var c wire.Configuration
	lines, problems := jsonc.Decode(f.Name, f.Data, &c)
	m.problems = append(m.problems, problems...)
	m.parseFailed = m.parseFailed || lines.ParseFailed()
	c = replaceNilLists(c)
	m.merged.Regions = appendList(m, lines, "Regions", m.merged.Regions, c.Regions)
	m.merged.Services = appendList(m, lines, "Services", m.merged.Services, c.Services)
	m.merged.Routes = appendList(m, lines, "Routes", m.merged.Routes, c.Routes)
	m.merged.CallerLimits = appendList(m, lines, "CallerLimits", m.merged.CallerLimits, c.CallerLimits)
}

// appendList appends the elements of one file to a merged list and records their
// origins. The result is never nil.
func appendList[T any](m *merger, lines jsonc.FieldLines, field string, merged, added []T) []T {
	if merged == nil {
		merged = []T{}
	}
	for i := range added {
		mergedPath := fmt.Sprintf("%s[%d]", field, len(merged)+i)
		m.origins[mergedPath] = origin{lines: lines, path: fmt.Sprintf("%s[%d]", field, i)}
	}
	return append(merged, added...)
}

// checkMerged checks the merged configuration. It skips problems of fields for which a
// decoding error is reported already.
func (m *merger) checkMerged() jsonc.Problems {
	var problems jsonc.Problems
	for _, p := range check(m.merged) {
		located := m.locate(p)
		reported := slices.ContainsFunc(m.problems, func(decoding *jsonc.Problem) bool {
			return decoding.File == located.File && strings.HasPrefix(located.Field, decoding.Field)
		})
		if !reported {
			problems = append(problems, located)
		}
	}
	return problems
}

// locate translates a problem's position in the merged configuration into its
// position in the file that declares the element.
func (m *merger) locate(p *jsonc.Problem) *jsonc.Problem {
	elementEnd := strings.IndexByte(p.Field, ']') + 1
	o, ok := m.origins[p.Field[:elementEnd]]
	if !ok {
		return p
	}
	return o.lines.Problem(o.path+p.Field[elementEnd:], "%s", p.Message)
}
