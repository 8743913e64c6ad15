package layers

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformNames are names from the protocol of the users' platform that have no
// other meaning in this module.
var platformNames = []string{
	"run-start", "run-stop", "log-append", "log-read", "log-newest", "keyed.op", "task_spec", "fencing_token",
	"seen_upto", "until_ms", "free_capacity", "latency_slo_ms", "est_duration_ms", "clock_ms",
	"best_effort", "X-Deadline-Ms", "X-Expect-Instance", "/instances/", "/readiness",
	"evacuate/", "cold_left_ms", "evacuate_ms",
}

// platformFolders lists the top-level folders that may contain platformNames.
var platformFolders = []string{"platform", "standin"}

func TestPlatformNamesOnlyInAdapterAndStandins(t *testing.T) {
	checked := 0
	for _, source := range sourceFiles(t) {
		top := topFolder(source.path)
		if top == platformFolders[0] || top == platformFolders[1] {
			continue
		}
		text, err := os.ReadFile(filepath.Join("..", "..", source.path))
		if err != nil {
			t.Fatal(err)
		}
		checked++
		for _, name := range platformNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s contains %s, a platform name, which only platform/ and standin/ may contain", source.path, name)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no file was checked")
	}
}
