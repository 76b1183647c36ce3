// Package config reads and checks what operators declare: regions, services,
// routes and limits.
//
// A configuration is a folder of *.jsonc files (JSON with comments). They are
// read in the order of their names and their lists are joined. The folder is
// accepted or refused as a whole, and all its errors are reported together, each
// as file:line: field: message.
//
// Control replicas run the same checks again on what arrives from operators,
// because a program of another version may have sent it.
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
	// ErrInvalid means that the configuration is refused. The message lists all
	// errors, one a line.
	ErrInvalid = merry.Sentinel("invalid configuration")
)

// fileSuffix is that of the files which belong to a configuration.
const fileSuffix = ".jsonc"

// File is one file of a configuration.
type File struct {
	// Name is used in error messages.
	Name string
	Data []byte
}

// Load reads all *.jsonc files of the folder. The error is ErrRead or
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

// escapeGlob makes filepath.Glob take the folder's name literally.
func escapeGlob(folder string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(folder)
}

// Parse joins the files in the given order and checks the result. The error is
// ErrInvalid.
func Parse(files []File) (wire.Configuration, error) {
	m := merger{origins: make(map[string]origin)}
	for _, f := range files {
		m.add(f)
	}
	problems := m.problems
	if !m.unreadable {
		problems = append(problems, m.check()...)
	}
	if err := problems.Err(); err != nil {
		return wire.Configuration{}, merry.Wrap(ErrInvalid, merry.WithMessage(err.Error()))
	}
	return m.out, nil
}

// Format writes c as one file that Parse accepts again.
func Format(c wire.Configuration) []byte {
	data, err := json.MarshalIndent(normal(c), "", "  ")
	if err != nil {
		// Only a float that is not a number could fail, and check refuses those.
		return []byte(err.Error())
	}
	return append(data, '\n')
}

// normal replaces nil lists by empty ones, which JSON writes as [].
func normal(c wire.Configuration) wire.Configuration {
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

// origin is where an element of a joined list was declared.
type origin struct {
	lines jsonc.FieldLines
	path  string
}

// merger joins files and remembers the origin of each element.
type merger struct {
	out      wire.Configuration
	origins  map[string]origin
	problems jsonc.Problems
	// unreadable is set by a file that is not JSON. What it declares is unknown,
	// so checks between declarations would report errors that are none.
	unreadable bool
}

func (m *merger) add(f File) {
	var c wire.Configuration
	lines, problems := jsonc.Decode(f.Name, f.Data, &c)
	m.problems = append(m.problems, problems...)
	m.unreadable = m.unreadable || lines.ParseFailed()
	c = normal(c)
	m.out.Regions = appendList(m, lines, "Regions", m.out.Regions, c.Regions)
	m.out.Services = appendList(m, lines, "Services", m.out.Services, c.Services)
	m.out.Routes = appendList(m, lines, "Routes", m.out.Routes, c.Routes)
	m.out.CallerLimits = appendList(m, lines, "CallerLimits", m.out.CallerLimits, c.CallerLimits)
}

func appendList[T any](m *merger, lines jsonc.FieldLines, name string, all, more []T) []T {
	if all == nil {
		all = []T{}
	}
	for i := range more {
		joined := fmt.Sprintf("%s[%d]", name, len(all)+i)
		m.origins[joined] = origin{lines: lines, path: fmt.Sprintf("%s[%d]", name, i)}
	}
	return append(all, more...)
}

// check checks the joined configuration. It passes over fields whose value could
// not be decoded, which are reported already.
func (m *merger) check() jsonc.Problems {
	var out jsonc.Problems
	for _, p := range check(m.out) {
		q := m.locate(p)
		reported := slices.ContainsFunc(m.problems, func(d *jsonc.Problem) bool {
			return d.File == q.File && strings.HasPrefix(q.Field, d.Field)
		})
		if !reported {
			out = append(out, q)
		}
	}
	return out
}

// locate turns a problem of the joined configuration into one of the file that
// declared the element.
func (m *merger) locate(p *jsonc.Problem) *jsonc.Problem {
	end := strings.IndexByte(p.Field, ']') + 1
	o, ok := m.origins[p.Field[:end]]
	if !ok {
		return p
	}
	return o.lines.Problem(o.path+p.Field[end:], "%s", p.Message)
}
