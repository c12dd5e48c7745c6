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
	// RegisterValidation fails only for an empty tag name.
	_ = v.RegisterValidation("ip_port", func(f validator.FieldLevel) bool {
		address, err := netip.ParseAddrPort(f.Field().String())
		return err == nil && address.Port() != 0
	})
	return v
}

// validate checks v against the rules in its validate tags. It adds an error for each violation, unless the field or a value
// that contains it already has one.
func (d *decoder) validate(v any) {
	var violations validator.ValidationErrors
	if !errors.As(validate.Struct(v), &violations) {
		return
	}
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		if d.hasError(path) {
			continue
		}
		problem := "is out of range"
		if strings.HasPrefix(violation.Tag(), "required") {
			problem = "is missing"
		}
		d.errs = append(d.errs, FieldError{Line: d.lines[path], Path: path, Problem: problem, Allowed: describeRules(d.tagOf(path))})
	}
}

// hasError reports whether path, or a value that contains it, has an error.
func (d *decoder) hasError(path string) bool {
	for _, f := range d.errs {
		if f.Path == "document" || f.Path == path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[") {
			return true
		}
	}
	return false
}

// tagOf returns the validate tag of path; for an element of a list, this is the part of the list's tag after "dive".
func (d *decoder) tagOf(path string) string {
	if tag, ok := d.tags[path]; ok {
		return tag
	}
	list, _, _ := strings.Cut(path, "[")
	_, element, _ := strings.Cut(d.tags[list], "dive,")
	return element
}

// rulePhrases describes the rules of validate tags; the rule's value follows its phrase.
var rulePhrases = map[string]string{
	"min": "at least ", "max": "at most ", "oneof": "one of ", "unique": "no value twice", "ip_port": "an IP number with a port",
	"ip": "an IP number",
}

// describeRules describes the values that a validate tag allows.
func describeRules(tag string) string {
	var out []string
	tag, _, _ = strings.Cut(tag, ",dive")
	for _, rule := range strings.Split(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		if phrase, ok := rulePhrases[name]; ok {
			out = append(out, phrase+strings.ReplaceAll(value, " ", ", "))
		}
	}
	if len(out) == 0 {
		return "any value that is not empty"
	}
	return strings.Join(out, ", ")
}
