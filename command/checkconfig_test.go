package command

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCheckConfigExitCode guards against scripts that send a faulty configuration because
// the check of it succeeds.
func TestCheckConfigExitCode(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "next.json")
	valid := `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/","service":"s","max_attempts":1,"stretch":2}]}`
	is.NoErr(os.WriteFile(file, []byte(valid), 0o600))
	is.NoErr(checkConfigCommand{File: file}.Run())
	is.NoErr(checkConfigCommand{File: file, JSON: true}.Run())
	is.True(errors.Is(checkConfigCommand{File: file, InForce: file}.Run(), ErrUsage)) // the version is not higher
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(valid, `"h"`, `""`, 1)), 0o600))
	is.Equal(exitCode(checkConfigCommand{File: file}.Run()), ExitUsage)
}
