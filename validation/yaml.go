package validation

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// DecodeYAML decodes a document into the struct that target points to. Keys that
// the struct does not have and values of the wrong type are Faults; the other
// fields are decoded nevertheless, so that they can be checked too.
func DecodeYAML(data []byte, target any) error {
	var document any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return fmt.Errorf("parse YAML: %w", err)
	}
	d := new(decoder)
	d.value("", document, reflect.ValueOf(target).Elem(), false)
	return d.faults.orNil()
}

// DecodeAndCheck decodes a YAML document into the struct that target points to,
// calls setDefaults to set defaults, checks the struct and returns the faults of
// decoding and checking. A field that could not be decoded is not reported a
// second time.
func DecodeAndCheck(data []byte, target any, setDefaults func()) error {
	decodeErr := DecodeYAML(data, target)
	faults := FaultsOf(decodeErr)
	if decodeErr != nil && faults == nil {
		return decodeErr
	}
	setDefaults()
	checkErr := Struct(target)
	found := FaultsOf(checkErr)
	if checkErr != nil && found == nil {
		return checkErr
	}
	for _, f := range found {
		if !hasFaultAt(faults, f.Path) {
			faults = append(faults, f)
		}
	}
	return faults.orNil()
}

// hasFaultAt reports whether faults contains one at the path or above it.
func hasFaultAt(faults Faults, path string) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		rest, found := strings.CutPrefix(path, f.Path)
		return found && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

type decoder struct {
	faults Faults
}

// value decodes one node of the document. A null leaves the field as it is.
func (d *decoder) value(path string, node any, target reflect.Value, secret bool) {
	if node == nil {
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(path, node, target.Elem(), secret)
	case reflect.Struct:
		d.mapping(path, node, target)
	case reflect.Slice:
		d.sequence(path, node, target, secret)
	default:
		d.scalar(path, node, target, secret)
	}
}

func (d *decoder) mapping(path string, node any, target reflect.Value) {
	entries, ok := node.(map[string]any)
	if !ok {
		d.fault(path, node, "keys with values", false)
		return
	}
	fields := fieldsOf(target)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		field, known := fields[key]
		if !known {
			names := strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
			d.faults = append(d.faults, Fault{Path: joinPath(path, key), Value: "an unknown key", Expected: "one of " + names})
			continue
		}
		d.value(joinPath(path, key), entries[key], field.value, field.secret)
	}
}

type field struct {
	value  reflect.Value
	secret bool
}

// fieldsOf returns a struct's fields by key, including those of inlined structs.
func fieldsOf(target reflect.Value) map[string]field {
	fields := map[string]field{}
	for i := range target.NumField() {
		info := target.Type().Field(i)
		if isInlined(info) {
			maps.Copy(fields, fieldsOf(target.Field(i)))
			continue
		}
		if name := yamlName(info); name != "" && name != "-" {
			fields[name] = field{value: target.Field(i), secret: info.Tag.Get("secret") == "true"}
		}
	}
	return fields
}

func (d *decoder) sequence(path string, node any, target reflect.Value, secret bool) {
	items, ok := node.([]any)
	if !ok {
		d.fault(path, node, "a list", secret)
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i), secret)
	}
}

func (d *decoder) scalar(path string, node any, target reflect.Value, secret bool) {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(path, node, target)
		return
	}
	value := reflect.ValueOf(node)
	switch {
	case target.Kind() == reflect.String && value.Kind() == reflect.String:
		target.SetString(value.String())
	case target.Kind() == reflect.Bool && value.Kind() == reflect.Bool:
		target.SetBool(value.Bool())
	case target.CanFloat() && (value.CanFloat() || value.CanInt() || value.CanUint()):
		target.Set(value.Convert(target.Type()))
	case target.CanInt() && value.CanInt() && !target.OverflowInt(value.Int()):
		target.SetInt(value.Int())
	case target.CanInt() && value.CanUint() && value.Uint() <= math.MaxInt64 && !target.OverflowInt(int64(value.Uint())):
		target.SetInt(int64(value.Uint()))
	default:
		d.fault(path, node, kindName(target.Kind()), secret)
	}
}

func (d *decoder) duration(path string, node any, target reflect.Value) {
	text, _ := node.(string)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.fault(path, node, "a duration such as 250ms or 2s", false)
		return
	}
	target.SetInt(int64(parsed))
}

func (d *decoder) fault(path string, node any, expected string, secret bool) {
	value := formatValue(node)
	if secret {
		value = redacted
	}
	if path == "" {
		path = "document"
	}
	d.faults = append(d.faults, Fault{Path: path, Value: value, Expected: expected})
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		// A number is not accepted as text: 1.10 would silently become 1.1.
		return "text (in quotes when it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
