// Package examples_test checks the settings files, services and jobs that the
// documentation refers to.
package examples_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
	_ "marjoramlug.example/marjoramlug/plugin/standard" // registers the plug-ins that services name
	"marjoramlug.example/marjoramlug/settings"
)

var services = []string{"trials.yaml", "tray.yaml"}

func files(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files %s: %v", pattern, err)
	}
	return paths
}

func TestSettings(t *testing.T) {
	for _, path := range files(t, "*.yaml") {
		if slices.Contains(services, path) {
			continue
		}
		t.Run(path, func(t *testing.T) {
			if _, err := settings.LoadWithoutSecrets(path); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// The files that list every setting must state the defaults: they are compared
// with files that set only what is required.
func TestSecureFilesShowTheDefaults(t *testing.T) {
	is := is.New(t)
	shown, err := settings.LoadWithoutSecrets("entry-secure.yaml")
	is.NoErr(err)
	plain, err := settings.LoadWithoutSecrets("entry-1.yaml")
	is.NoErr(err)
	is.Equal(shown.Entry.Ownership, plain.Entry.Ownership)
	is.Equal(shown.Entry.Limits, plain.Entry.Limits)
	is.Equal(shown.Entry.StopTimeout, plain.Entry.StopTimeout)
	shown.Entry.Platform.URL = plain.Entry.Platform.URL
	is.Equal(shown.Entry.Platform, plain.Entry.Platform)

	shown, err = settings.LoadWithoutSecrets("agent-secure.yaml")
	is.NoErr(err)
	plain, err = settings.LoadWithoutSecrets("agent-1.yaml")
	is.NoErr(err)
	shown.Agent.Entries, shown.Agent.TLS = plain.Agent.Entries, plain.Agent.TLS
	is.Equal(shown.Agent, plain.Agent)
}

func TestServices(t *testing.T) {
	schemas := map[string]int{"trials.yaml": config.SchemaV2, "tray.yaml": config.SchemaV1}
	for _, path := range services {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			s, err := api.ParseService(data, "")
			is.NoErr(err)
			is.Equal(config.LowestSchema(s), schemas[path])
		})
	}
}

func TestJobs(t *testing.T) {
	for _, path := range files(t, "*.json") {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			dec := json.NewDecoder(bytes.NewReader(data))
			dec.DisallowUnknownFields()
			var job api.JobRequest
			is.NoErr(dec.Decode(&job))
			is.True(len(job.Tasks) > 0)
		})
	}
}
