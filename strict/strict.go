package strict

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"samphirepass"
)

// FieldError is one thing wrong with a document.
type FieldError struct {
	Line int
	// Path names the field, as in control[0].address.
	Path    string
	Problem string
	Allowed string
}

// String returns the fault on one line.
func (f FieldError) String() string {
	s := fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Problem)
	if f.Allowed != "" {
		s += " (allowed: " + f.Allowed + ")"
	}
	return s
}

// FieldErrors is the error of a document with at least one fault.
type FieldErrors []FieldError

// Error returns all faults, one a line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Refusal turns the first fault into a refusal for a client.
func (f FieldErrors) Refusal() *samphirepass.Refusal {
	r := samphirepass.Refuse(samphirepass.CodeInvalid, "%s", f[0].Problem)
	r.Field, r.Allowed = f[0].Path, f[0].Allowed
	return r
}

// Decode decodes data into the struct that v points to; its error is of type Faults.
func Decode(data []byte, v any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return FieldErrors{{Line: 1, Path: "document", Problem: err.Error(), Allowed: "JSON with comments"}}
	}
	d := &decoder{data: data, lines: map[string]int{}, tags: map[string]string{}}
	d.walk(&root, reflect.TypeOf(v).Elem(), "")
	root.Standardize()
	// Where the walk found faults the rest is decoded all the same, so that its ranges are checked too.
	if err := json.Unmarshal(root.Pack(), v); err != nil && len(d.faults) == 0 {
		return FieldErrors{{Line: 1, Path: "document", Problem: err.Error()}}
	}
	d.validate(v)
	if len(d.faults) > 0 {
		return d.faults
	}
	return nil
}

// DecodeRequest is Decode with a refusal as its error, for requests of clients.
func DecodeRequest(data []byte, v any) error {
	err := Decode(data, v)
	if faults, ok := err.(FieldErrors); ok {
		return faults.Refusal()
	}
	return err
}

type decoder struct {
	data   []byte
	faults FieldErrors
	lines  map[string]int
	tags   map[string]string
}

var rawType = reflect.TypeOf(json.RawMessage(nil))

func (d *decoder) line(offset int) int {
	return 1 + strings.Count(string(d.data[:min(max(offset, 0), len(d.data))]), "\n")
}

func (d *decoder) fault(v *hujson.Value, path, problem, allowed string) {
	d.faults = append(d.faults, FieldError{Line: d.line(v.StartOffset), Path: path, Problem: problem, Allowed: allowed})
}

func (d *decoder) walk(v *hujson.Value, t reflect.Type, path string) {
	d.lines[path] = d.line(v.StartOffset)
	switch {
	case t == rawType:
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
		d.tags[join(path, name)] = f.Tag.Get("validate")
		d.lines[join(path, name)] = d.line(v.StartOffset)
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, orDocument(path), "is not an object", "an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		switch {
		case fields[name] == nil:
			d.fault(&m.Name, at, "unknown field", strings.Join(names, ", "))
		case seen[name]:
			d.fault(&m.Name, at, "given twice", "once")
		default:
			d.walk(&m.Value, fields[name], at)
		}
		seen[name] = true
	}
}

func (d *decoder) walkSlice(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v, path, "is not a list", "a list")
		return
	}
	for i := range array.Elements {
		d.walk(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) walkScalar(v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, reflect.New(t).Interface()) != nil || string(literal) == "null" {
		d.fault(v, path, "has the wrong type", typeName(t))
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
