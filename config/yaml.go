package config

import "github.com/goccy/go-yaml"

// FormatYAML returns a service in YAML, as read by ParseYAML.
func FormatYAML(s Service) ([]byte, error) { return yaml.Marshal(s) }

// FormatJSON returns a service in JSON, which ParseYAML also reads. Durations are
// strings such as "2s".
func FormatJSON(s Service) ([]byte, error) {
	data, err := FormatYAML(s)
	if err != nil {
		return nil, err
	}
	return yaml.YAMLToJSON(data)
}
