// Package jsonc decodes JSON with comments strictly and says where each error
// is.
//
// encoding/json accepts fields in any case, ignores unknown ones, lets a later
// duplicate win and stops at the first error. Each of these would let a typing
// error in an operator's file take effect unnoticed, so this package reports
// them all, with the line.
//
// # Usage
//
//	var s Settings
//	lines, problems := jsonc.Decode("node.jsonc", data, &s)
//	if s.Name == "" {
//		problems = append(problems, lines.Problem("Name", "is missing"))
//	}
//	return s, problems.Err()
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// ErrInvalid is the error of a file that was refused. Its message lists every
// problem, one a line.
var ErrInvalid = merry.Sentinel("invalid file")

// maxFileBytes bounds what is parsed; the parser is recursive, so a longer file
// of brackets could exhaust the stack.
const maxFileBytes = 8 << 20

// Problem is one error in a file.
type Problem struct {
	// File is the name given to Decode, empty for data that came from no file.
	File string
	// Line counts from 1; 0 where there is no file.
	Line int
	// Field is the path of the field, such as Routes[2].Path; empty for the
	// file as a whole.
	Field   string
	Message string
}

// lineBreaks are escaped, because a list of problems has one on each line and
// names and values from the file can hold them.
var lineBreaks = strings.NewReplacer("\n", `\n`, "\r", `\r`)

// Error implements error: file:line: field: message, without absent parts.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return lineBreaks.Replace(b.String())
}

// Problems is a list of errors in files.
type Problems []*Problem

// Err returns nil for an empty list, else an ErrInvalid that lists the problems
// in the order of their files and lines.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	p.Sort()
	text := make([]string, len(p))
	for i, q := range p {
		text[i] = q.Error()
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage(strings.Join(text, "\n")))
}

// Sort orders by file and line.
func (p Problems) Sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].File != p[j].File {
			return p[i].File < p[j].File
		}
		return p[i].Line < p[j].Line
	})
}

// FieldLines knows the line of each field of one file.
type FieldLines struct {
	File   string
	byPath map[string]int
}

// Line returns the line of the field, or of the nearest enclosing one that is
// present in the file.
func (l FieldLines) Line(field string) int {
	for {
		if n, ok := l.byPath[field]; ok {
			return n
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return max(l.byPath[""], 1)
		}
		field = field[:cut]
	}
}

// ParseFailed reports whether the file could not be parsed at all.
func (l FieldLines) ParseFailed() bool { return len(l.byPath) == 0 }

// Problem returns a problem at the line of field.
func (l FieldLines) Problem(field, format string, args ...any) *Problem {
	return &Problem{File: l.File, Line: l.Line(field), Field: field, Message: fmt.Sprintf(format, args...)}
}

// Decode decodes data into the struct that into points to. Field names are
// those of the json tags, else of the Go fields, and must match exactly.
// Fields that are absent keep their value; absent and empty lists become empty,
// not nil. file is used in messages only.
func Decode(file string, data []byte, into any) (FieldLines, Problems) {
	d := &decoder{data: data, lines: FieldLines{File: file, byPath: make(map[string]int)}}
	if len(data) > maxFileBytes {
		d.fail("", 0, "the file has %d bytes, at most %d are read", len(data), maxFileBytes)
		return d.lines, d.problems
	}
	v, err := hujson.Parse(data)
	if err != nil {
		d.problems = append(d.problems, syntaxProblem(file, err))
		return d.lines, d.problems
	}
	d.value("", v, reflect.ValueOf(into).Elem())
	return d.lines, d.problems
}

var syntaxPosition = regexp.MustCompile(`(?s)^hujson: line (\d+), column \d+: (.*)$`)

func syntaxProblem(file string, err error) *Problem {
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return &Problem{File: file, Line: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	return &Problem{File: file, Line: line, Message: m[2]}
}

type decoder struct {
	data     []byte
	lines    FieldLines
	problems Problems
}

func (d *decoder) fail(path string, offset int, format string, args ...any) {
	d.problems = append(d.problems, &Problem{
		File: d.lines.File, Line: d.lineAt(offset), Field: path, Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) value(path string, v hujson.Value, to reflect.Value) {
	if _, ok := d.lines.byPath[path]; !ok {
		d.lines.byPath[path] = d.lineAt(v.StartOffset)
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(path, v, to)
	case reflect.Map:
		d.dictionary(path, v, to)
	case reflect.Slice:
		d.list(path, v, to)
	case reflect.Pointer:
		n := reflect.New(to.Type().Elem())
		to.Set(n)
		d.value(path, v, n.Elem())
	default:
		d.literal(path, v, to)
	}
}

// members yields the members of an object, and reports duplicates.
func (d *decoder) members(path string, v hujson.Value, yield func(name string, m hujson.ObjectMember)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, v.StartOffset, "must be an object")
		return
	}
	seen := make(map[string]bool)
	for _, m := range o.Members {
		var name string
		_ = json.Unmarshal(m.Name.Value.(hujson.Literal), &name)
		if seen[name] {
			d.fail(join(path, name), m.Name.StartOffset, "duplicate field")
			continue
		}
		seen[name] = true
		yield(name, m)
	}
}

func (d *decoder) object(path string, v hujson.Value, to reflect.Value) {
	fields := fieldsOf(to)
	d.members(path, v, func(name string, m hujson.ObjectMember) {
		field, ok := fields[name]
		if !ok {
			d.fail(join(path, name), m.Name.StartOffset, "unknown field")
			return
		}
		d.lines.byPath[join(path, name)] = d.lineAt(m.Name.StartOffset)
		d.value(join(path, name), m.Value, field)
	})
}

func (d *decoder) dictionary(path string, v hujson.Value, to reflect.Value) {
	t := to.Type()
	to.Set(reflect.MakeMap(t))
	d.members(path, v, func(name string, m hujson.ObjectMember) {
		element := reflect.New(t.Elem()).Elem()
		d.lines.byPath[join(path, name)] = d.lineAt(m.Name.StartOffset)
		d.value(join(path, name), m.Value, element)
		to.SetMapIndex(reflect.ValueOf(name).Convert(t.Key()), element)
	})
}

func (d *decoder) list(path string, v hujson.Value, to reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(path, v.StartOffset, "must be a list")
		return
	}
	out := reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	to.Set(out)
}

func (d *decoder) literal(path string, v hujson.Value, to reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' || json.Unmarshal(l, to.Addr().Interface()) != nil {
		d.fail(path, v.StartOffset, "must be %s", nounOf(to.Kind()))
	}
}

// fieldsOf gives the settable fields by their name in the file, and makes
// lists empty in place of nil.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		out[name] = v.Field(i)
		if f.Type.Kind() == reflect.Slice && v.Field(i).IsNil() {
			v.Field(i).Set(reflect.MakeSlice(f.Type, 0, 0))
		}
	}
	return out
}

func nounOf(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
