package config

import (
	"fmt"

	"marjoramlug.example/marjoramlug/validation"
)

// ParseYAML decodes and validates an operator's file for one service. It returns
// all faults at once, including unknown keys.
func ParseYAML(data []byte) (Service, error) {
	var s Service
	err := validation.DecodeAndCheck(data, &s, func() {})
	return s, withDuplicateFaults(err, s)
}

// Validate checks a service and returns all faults as validation.Faults.
func Validate(s Service) error {
	return withDuplicateFaults(validation.Struct(s), s)
}

// withDuplicateFaults adds to err a fault for each duplicate name.
func withDuplicateFaults(err error, s Service) error {
	faults := validation.FaultsOf(err)
	if err != nil && faults == nil {
		return err
	}
	faults = append(faults, duplicateFaults("rules", s.Rules, func(r Rule) string { return r.Name })...)
	faults = append(faults, duplicateFaults("teams", s.Teams, func(t Team) string { return t.Name })...)
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func duplicateFaults[T any](path string, items []T, nameOf func(T) string) validation.Faults {
	var faults validation.Faults
	first := map[string]int{}
	for i, item := range items {
		name := nameOf(item)
		if index, duplicate := first[name]; duplicate {
			faults = append(faults, validation.Fault{
				Path:     fmt.Sprintf("%s[%d].name", path, i),
				Value:    fmt.Sprintf("%q", name),
				Expected: fmt.Sprintf("another name than %s[%d]", path, index),
			})
			continue
		}
		first[name] = i
	}
	return faults
}
