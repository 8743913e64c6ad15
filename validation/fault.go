// Package validation decodes YAML into structs and checks them. It reports all
// faults of a document at once, each with the path of its field.
package validation

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one invalid field.
type Fault struct {
	// Path is the field's path in the document, for example "entry.http" or
	// "rules[0].name".
	Path string
	// Value is the value of the field, formatted for a message.
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error returns the path, the value found and the one expected.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: got %s, expected %s", f.Path, f.Value, f.Expected)
}

// Faults are all faults of a document.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the faults as an error, or nil if there are none.
func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// FaultsOf returns the faults that err wraps, or nil.
func FaultsOf(err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	var fault Fault
	if errors.As(err, &fault) {
		return Faults{fault}
	}
	return nil
}
