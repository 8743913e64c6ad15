package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml"
)

// Difference is a field in which two services differ. An empty Before or After
// means that the field is not set in that service.
type Difference struct {
	// Path locates the field, for example "rules[0].urgent".
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Diff returns the fields in which two services differ, sorted by path.
func Diff(before, after Service) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(old)
	maps.Copy(paths, next)
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != next[path] {
			differences = append(differences, Difference{Path: path, Before: old[path], After: next[path]})
		}
	}
	return differences, nil
}

// flatten returns the values of the fields that are set, by path.
func flatten(s Service) (map[string]string, error) {
	data, err := FormatYAML(s)
	if err != nil {
		return nil, err
	}
	var document any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	fields := map[string]string{}
	collectFields(fields, "", document)
	return fields, nil
}

// collectFields adds the leaves of a decoded YAML node to fields.
func collectFields(fields map[string]string, path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for key, value := range n {
			if path != "" {
				key = path + "." + key
			}
			collectFields(fields, key, value)
		}
	case []any:
		for i, item := range n {
			collectFields(fields, fmt.Sprintf("%s[%d]", path, i), item)
		}
	default:
		fields[path] = fmt.Sprintf("%v", n)
	}
}
