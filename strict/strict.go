package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"samphirepass"
)

// FieldError is one error in a document.
type FieldError struct {
	Line int
	// Path names the field, as in control[0].address, or is "document" for an error of the whole document.
	Path    string
	Problem string
	Allowed string
}

// String returns the error on one line.
func (f FieldError) String() string {
	s := fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Problem)
	if f.Allowed != "" {
		s += " (allowed: " + f.Allowed + ")"
	}
	return s
}

// FieldErrors holds all errors of a document; it is not empty.
type FieldErrors []FieldError

// Error returns all errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldError := range f {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// Refusal returns the first error as a refusal for a client.
func (f FieldErrors) Refusal() *samphirepass.Refusal {
	r := samphirepass.Refuse(samphirepass.CodeInvalid, "%s", f[0].Problem)
	r.Field, r.Allowed = f[0].Path, f[0].Allowed
	return r
}

const (
	// maxDepth is the depth to which objects and lists may be nested.
	maxDepth = 32
	// maxValues bounds the values in a document: each takes about a hundred times the memory of its shortest form.
	maxValues = 1 << 16
)

// checkShape refuses documents that would take much memory to parse. It finds no other errors.
func checkShape(data []byte) error {
	depth, values, line := 0, 0, 1
	refuse := func(problem string, limit int, of string) error {
		return FieldErrors{{Line: line, Path: "document", Problem: problem, Allowed: fmt.Sprintf("at most %d %s", limit, of)}}
	}
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"', '/':
			end := endOfToken(data, i)
			line += bytes.Count(data[i:end], []byte("\n"))
			i = end - 1
		case '\n':
			line++
		case '[', '{':
			values++
			if depth++; depth > maxDepth {
				return refuse("is nested too deeply", maxDepth, "levels")
			}
		case ']', '}':
			depth--
		case ',':
			values++
		}
		if values > maxValues {
			return refuse("has too many values", maxValues, "values")
		}
	}
	return nil
}

// endOfToken returns the index after the string or comment that starts at i.
func endOfToken(data []byte, i int) int {
	rest := data[i:]
	end := 1
	switch {
	case rest[0] == '"':
		for end < len(rest) && rest[end] != '"' {
			if rest[end] == '\\' {
				end++
			}
			end++
		}
		end++
	case bytes.HasPrefix(rest, []byte("//")):
		if end = bytes.IndexByte(rest, '\n'); end < 0 {
			end = len(rest)
		}
	case bytes.HasPrefix(rest, []byte("/*")):
		if end = bytes.Index(rest[2:], []byte("*/")); end < 0 {
			return len(data)
		}
		end += 4
	}
	return min(i+end, len(data))
}

// Decode decodes data into the struct that v points to and checks it against the rules in its validate tags. Its error is of
// type FieldErrors.
func Decode(data []byte, v any) error {
	if err := checkShape(data); err != nil {
		return err
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return FieldErrors{{Line: 1, Path: "document", Problem: err.Error(), Allowed: "JSON with comments"}}
	}
	d := &decoder{data: data, lines: map[string]int{}, tags: map[string]string{}}
	d.walk(&root, reflect.TypeOf(v).Elem(), "")
	root.Standardize()
	// The document is decoded even if the walk found errors, so that the ranges of the other fields are checked too.
	if err := json.Unmarshal(root.Pack(), v); err != nil && len(d.errs) == 0 {
		return FieldErrors{{Line: 1, Path: "document", Problem: err.Error()}}
	}
	d.validate(v)
	if len(d.errs) > 0 {
		return d.errs
	}
	return nil
}

// DecodeRequest decodes the body of a request as Decode does, but returns the first error as a refusal for the client.
func DecodeRequest(data []byte, v any) error {
	err := Decode(data, v)
	if errs, ok := err.(FieldErrors); ok {
		return errs.Refusal()
	}
	return err
}

// decoder collects the errors of one document.
type decoder struct {
	data []byte
	errs FieldErrors
	// lines holds the line of each path; a field that is absent has the line of its object.
	lines map[string]int
	// tags holds the validate tag of each path.
	tags map[string]string
}

var rawMessageType = reflect.TypeOf(json.RawMessage(nil))

func (d *decoder) line(offset int) int {
	return 1 + strings.Count(string(d.data[:min(max(offset, 0), len(d.data))]), "\n")
}

func (d *decoder) addError(v *hujson.Value, path, problem, allowed string) {
	d.errs = append(d.errs, FieldError{Line: d.line(v.StartOffset), Path: path, Problem: problem, Allowed: allowed})
}

// walk checks v and the values in it against type t, and records the line and the validate tag of each path.
func (d *decoder) walk(v *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		// The field is optional; null is refused like a value of another type.
		t = t.Elem()
	}
	d.lines[path] = d.line(v.StartOffset)
	switch {
	case t == rawMessageType:
	case t.Kind() == reflect.Struct:
		d.walkStruct(v, t, path)
	case t.Kind() == reflect.Slice:
		d.walkSlice(v, t, path)
	default:
		d.walkScalar(v, t, path)
	}
}

func (d *decoder) walkStruct(v *hujson.Value, t reflect.Type, path string) {
	fields := map[string]reflect.Type{}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
		names = append(names, name)
		d.tags[joinPath(path, name)] = f.Tag.Get("validate")
		d.lines[joinPath(path, name)] = d.line(v.StartOffset)
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addError(v, pathOrDocument(path), "is not an object", "an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, name)
		switch {
		case fields[name] == nil:
			d.addError(&m.Name, fieldPath, "unknown field", strings.Join(names, ", "))
		case seen[name]:
			d.addError(&m.Name, fieldPath, "given twice", "once")
		default:
			d.walk(&m.Value, fields[name], fieldPath)
		}
		seen[name] = true
	}
}

func (d *decoder) walkSlice(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addError(v, path, "is not a list", "a list")
		return
	}
	for i := range array.Elements {
		d.walk(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) walkScalar(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, reflect.New(t).Interface()) != nil || string(literal) == "null" {
		d.addError(v, path, "has the wrong type", typeName(t))
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64, reflect.Uint32:
		return "a whole number from 0"
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

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
