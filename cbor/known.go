package cbor

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/rotisserie/eris"
)

// ErrUnknownFields means that an encoding holds fields which only a later version knows, and which are not zero: decoded, they would be lost.
var ErrUnknownFields = eris.New("there are fields that only a later version knows")

// UnmarshalKnown is Unmarshal for what must not be lost. It returns an error that wraps ErrUnknownFields if v, encoded again, would lack some of
// data. Fields that an earlier version does not have are zero, as with Unmarshal.
func UnmarshalKnown(data []byte, v any) error {
	if err := Unmarshal(data, v); err != nil {
		return err
	}
	again, err := Marshal(v)
	if err != nil || bytes.Equal(data, again) {
		return err
	}
	var before, after any
	if err := Unmarshal(data, &before); err != nil {
		return err
	}
	if err := Unmarshal(again, &after); err != nil {
		return err
	}
	if path := lostField(before, after); path != "" {
		return fmt.Errorf("decode %T: %w, the first at %s", v, ErrUnknownFields, path)
	}
	return nil
}

// lostField returns the path of the first element of before that after lacks and that is not zero, or an empty string. Arrays are structs or
// lists, and only those of structs can differ in length.
func lostField(before, after any) string {
	switch b := before.(type) {
	case []any:
		a, _ := after.([]any)
		for i, element := range b {
			path := ""
			switch {
			case i < len(a):
				path = lostField(element, a[i])
			case !isZero(element):
				path = "field"
			}
			if path != "" {
				return fmt.Sprintf("%d/%s", i, path)
			}
		}
	case map[any]any:
		a, _ := after.(map[any]any)
		for key, element := range b {
			if path := lostField(element, a[key]); path != "" {
				return fmt.Sprintf("%v/%s", key, path)
			}
		}
	}
	return ""
}

// isZero reports whether an element is what the zero value of a field is encoded as: of a struct all fields are zero.
func isZero(element any) bool {
	list, ok := element.([]any)
	if !ok {
		v := reflect.ValueOf(element)
		return !v.IsValid() || v.IsZero() || (v.Kind() == reflect.Map || v.Kind() == reflect.Slice) && v.Len() == 0
	}
	for _, e := range list {
		if !isZero(e) {
			return false
		}
	}
	return true
}
