// Package jsonc is a strict decoder for JSON with comments that reports the line
// of each error.
//
// encoding/json accepts field names in any case, ignores unknown fields, keeps the
// last of duplicate fields and stops at the first error. A typing error in an
// operator's file could thus take effect unnoticed. This package reports all such
// errors.
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

// ErrInvalid means that a file is rejected. The message lists all problems, one per
// line.
var ErrInvalid = merry.Sentinel("invalid file")

// maxFileBytes limits the size of a file. The parser is recursive, so deeply nested
// brackets in a longer file could exhaust the stack.
const maxFileBytes = 8 << 20

// Problem is one error in a file.
type Problem struct {
	// File is the name given to Decode; empty if the data is not from a file.
	File string
	// Line is the 1-based line number; 0 if the data is not from a file.
	Line int
	// Field is the path of the field, such as Routes[2].Path; empty if the problem
	// concerns the whole file.
	Field   string
	Message string
}

// lineBreakEscaper escapes line breaks. Names and values from the file can contain
// them, and lists of problems have one problem per line.
var lineBreakEscaper = strings.NewReplacer("\n", `\n`, "\r", `\r`)

// Error returns the problem as file:line: field: message. Empty parts are omitted.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return lineBreakEscaper.Replace(b.String())
}

// Problems is a list of errors in files.
type Problems []*Problem

// Err returns nil for an empty list, and otherwise an ErrInvalid that lists the
// problems by file and line. It sorts p.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	p.Sort()
	messages := make([]string, len(p))
	for i, problem := range p {
		messages[i] = problem.Error()
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage(strings.Join(messages, "\n")))
}

// Sort sorts p by file and line. The sort is stable.
func (p Problems) Sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].File != p[j].File {
			return p[i].File < p[j].File
		}
		return p[i].Line < p[j].Line
	})
}

// FieldLines maps the fields of one file to their lines.
type FieldLines struct {
	// File is the name given to Decode.
	File   string
	byPath map[string]int
}

// Line returns the line of the field. If the file does not contain the field, it
// returns the line of the nearest enclosing field that it contains.
func (l FieldLines) Line(field string) int {
	for {
		if n, ok := l.byPath[field]; ok {
			return n
		}
		parentEnd := strings.LastIndexAny(field, ".[")
		if parentEnd < 0 {
			return max(l.byPath[""], 1)
		}
		field = field[:parentEnd]
	}
}

// ParseFailed reports whether the file could not be parsed, so that no fields are
// known.
func (l FieldLines) ParseFailed() bool { return len(l.byPath) == 0 }

// Problem returns a problem with the line of field.
func (l FieldLines) Problem(field, format string, args ...any) *Problem {
	return &Problem{File: l.File, Line: l.Line(field), Field: field, Message: fmt.Sprintf(format, args...)}
}

// Decode decodes data into the struct that target points to. A field's name is its
// json tag or, without a tag, its Go name, and must match exactly. Fields that are
// absent in data keep their values, except that nil lists become empty lists. file is
// only used in messages.
func Decode(file string, data []byte, target any) (FieldLines, Problems) {
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
	d.decodeValue("", v, reflect.ValueOf(target).Elem())
	return d.lines, d.problems
}

// syntaxErrorPattern matches syntax errors of hujson: the line and the message.
var syntaxErrorPattern = regexp.MustCompile(`(?s)^hujson: line (\d+), column \d+: (.*)$`)

func syntaxProblem(file string, err error) *Problem {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return &Problem{File: file, Line: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	return &Problem{File: file, Line: line, Message: m[2]}
}

// decoder decodes one file and collects its problems and the lines of its fields.
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

func (d *decoder) decodeValue(path string, v hujson.Value, target reflect.Value) {
	if _, ok := d.lines.byPath[path]; !ok {
		d.lines.byPath[path] = d.lineAt(v.StartOffset)
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, target)
	case reflect.Map:
		d.decodeMap(path, v, target)
	case reflect.Slice:
		d.decodeList(path, v, target)
	case reflect.Pointer:
		pointer := reflect.New(target.Type().Elem())
		target.Set(pointer)
		d.decodeValue(path, v, pointer.Elem())
	default:
		d.decodeLiteral(path, v, target)
	}
}

// forEachMember calls f for each member of the object v. It reports duplicate names
// and skips all but the first.
func (d *decoder) forEachMember(path string, v hujson.Value, f func(name string, m hujson.ObjectMember)) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(path, v.StartOffset, "must be an object")
		return
	}
	seen := make(map[string]bool)
	for _, m := range object.Members {
		var name string
		_ = json.Unmarshal(m.Name.Value.(hujson.Literal), &name)
		if seen[name] {
			d.fail(joinPath(path, name), m.Name.StartOffset, "duplicate field")
			continue
		}
		seen[name] = true
		f(name, m)
	}
}

func (d *decoder) decodeObject(path string, v hujson.Value, target reflect.Value) {
	fields := fieldsByName(target)
	d.forEachMember(path, v, func(name string, m hujson.ObjectMember) {
		field, ok := fields[name]
		if !ok {
			d.fail(joinPath(path, name), m.Name.StartOffset, "unknown field")
			return
		}
		d.lines.byPath[joinPath(path, name)] = d.lineAt(m.Name.StartOffset)
		d.decodeValue(joinPath(path, name), m.Value, field)
	})
}

func (d *decoder) decodeMap(path string, v hujson.Value, target reflect.Value) {
	mapType := target.Type()
	target.Set(reflect.MakeMap(mapType))
	d.forEachMember(path, v, func(name string, m hujson.ObjectMember) {
		element := reflect.New(mapType.Elem()).Elem()
		d.lines.byPath[joinPath(path, name)] = d.lineAt(m.Name.StartOffset)
		d.decodeValue(joinPath(path, name), m.Value, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(mapType.Key()), element)
	})
}

func (d *decoder) decodeList(path string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(path, v.StartOffset, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) decodeLiteral(path string, v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	// Kind 'n' is null, which no field accepts.
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, target.Addr().Interface()) != nil {
		d.fail(path, v.StartOffset, "must be %s", kindName(target.Kind()))
	}
}

// fieldsByName returns the fields of the struct v by their names in the file. It
// replaces nil lists in v by empty ones.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		fields[name] = v.Field(i)
		if f.Type.Kind() == reflect.Slice && v.Field(i).IsNil() {
			v.Field(i).Set(reflect.MakeSlice(f.Type, 0, 0))
		}
	}
	return fields
}

// kindName describes the JSON value that a Go kind decodes from.
func kindName(k reflect.Kind) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
