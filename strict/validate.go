package strict

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	// The registration fails only for an empty tag name.
	_ = v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

// validate checks the ranges that the struct tags state.
func (d *decoder) validate(v any) {
	var wrong validator.ValidationErrors
	if !errors.As(validate.Struct(v), &wrong) {
		return
	}
	for _, w := range wrong {
		_, path, _ := strings.Cut(w.Namespace(), ".")
		if d.known(path) {
			continue
		}
		problem := "is out of range"
		if strings.HasPrefix(w.Tag(), "required") {
			problem = "is missing"
		}
		d.faults = append(d.faults, FieldError{Line: d.lines[path], Path: path, Problem: problem, Allowed: allowed(d.tagOf(path))})
	}
}

// known reports whether the walk found a fault in path or above it.
func (d *decoder) known(path string) bool {
	for _, f := range d.faults {
		if f.Path == "document" || f.Path == path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[") {
			return true
		}
	}
	return false
}

// tagOf returns the tag of path, or for an element of a list what follows dive in the list's tag.
func (d *decoder) tagOf(path string) string {
	if tag, ok := d.tags[path]; ok {
		return tag
	}
	list, _, _ := strings.Cut(path, "[")
	_, element, _ := strings.Cut(d.tags[list], "dive,")
	return element
}

var phrases = map[string]string{
	"min": "at least ", "max": "at most ", "oneof": "one of ", "unique": "no value twice", "ip_port": "an IP number with a port",
	"ip": "an IP number",
}

// allowed puts a validation tag into words.
func allowed(tag string) string {
	var out []string
	tag, _, _ = strings.Cut(tag, ",dive")
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		if phrase, ok := phrases[name]; ok {
			out = append(out, phrase+strings.ReplaceAll(value, " ", ", "))
		}
	}
	if len(out) == 0 {
		return "any value that is not empty"
	}
	return strings.Join(out, ", ")
}
