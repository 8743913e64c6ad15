package validation

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// redacted replaces the value of a field with the tag `secret:"true"` in
// messages.
const redacted = "(hidden)"

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		if isInlined(field) {
			return inlined
		}
		return yamlName(field)
	})
	register(v, "address", func(field validator.FieldLevel) bool {
		return IsAddress(field.Field().String())
	})
	register(v, "service_name", func(field validator.FieldLevel) bool {
		return serviceName.MatchString(field.Field().String())
	})
	register(v, "listen_address", func(field validator.FieldLevel) bool {
		return isAddress(field.Field().String(), 0)
	})
	return v
}

// serviceName matches names that need no escaping in URLs, logs and metrics.
// They begin with a letter or digit, so that no name is "." or "..".
var serviceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func register(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err) // the tag is empty: a programming error that shows at start-up
	}
}

// IsAddress reports whether text has the form host:port with a port from 1 to 65535.
func IsAddress(text string) bool { return isAddress(text, 1) }

// isAddress reports whether text has the form host:port with a port of at least
// minPort.
func isAddress(text string, minPort uint64) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number >= minPort
}

// inlined is the path element of an inlined struct, which has no key of its own,
// in the validator's paths.
const inlined = "<inlined>"

func isInlined(field reflect.StructField) bool {
	return strings.HasSuffix(field.Tag.Get("yaml"), ",inline")
}

// yamlName returns the YAML key of a field.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// Struct checks v, a struct or a pointer to one, against its `validate` tags.
// All faults found are returned as Faults.
func Struct(v any) error {
	err := structValidator.Struct(v)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	var faults Faults
	for _, field := range invalid {
		faults = append(faults, faultOf(field))
	}
	return faults
}

func faultOf(field validator.FieldError) Fault {
	return Fault{Path: pathOf(field), Value: formatValue(field.Value()), Expected: expected(field)}
}

// pathOf returns the field's path without the name of the root type and the
// elements of inlined structs.
func pathOf(field validator.FieldError) string {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return strings.ReplaceAll(path, inlined+".", "")
}

// formatValue formats a value for a message.
func formatValue(v any) string {
	value := reflect.ValueOf(v)
	if !value.IsValid() || value.IsZero() {
		return "nothing"
	}
	if value.Kind() == reflect.String {
		return fmt.Sprintf("%q", value.String())
	}
	return fmt.Sprint(v)
}

// expected describes what a validation tag requires.
func expected(field validator.FieldError) string {
	param := field.Param()
	switch field.Tag() {
	case "required":
		return "a value"
	case "required_without":
		return "a value, as " + snakeCase(param) + " is not set"
	case "required_with":
		return "a value, as " + snakeCase(param) + " is set"
	case "required_if":
		return "a value, as " + strings.ToLower(strings.Replace(param, " ", " is ", 1))
	case "oneof":
		return "one of " + strings.Join(strings.Fields(param), ", ")
	case "address", "listen_address":
		// An address must also have a port other than 0, which the text doesn't say.
		return "an address of the form host:port"
	case "service_name":
		return "letters, digits and the characters - _ ."
	case "startswith":
		return "text that begins with " + param
	case "http_url":
		return "an http or https URL"
	case "max", "lte":
		return "at most " + param + unitOf(field)
	case "min", "gte":
		return "at least " + param + unitOf(field)
	case "lt", "ltfield":
		return "less than " + snakeCase(param)
	case "gt", "gtfield":
		return "more than " + snakeCase(param)
	case "unique":
		return "each " + snakeCase(param) + " once only"
	default:
		return strings.TrimSpace(field.Tag() + " " + param)
	}
}

// unitOf returns the unit of a bound, with a leading space.
func unitOf(field validator.FieldError) string {
	switch field.Kind() {
	case reflect.String:
		return " characters"
	case reflect.Slice, reflect.Map:
		return " items"
	default:
		return ""
	}
}

// snakeCase converts a Go field name to snake case, which documents use.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' && name[i-1] >= 'a' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
