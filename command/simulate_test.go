package command

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/emulator"
)

const tinyExperiment = `
length: 1s
seeds: [1, 2]
fleet:
  entries: [{count: 1, cores: 1}]
  agents: [{count: 2, cores: 16}]
classes: [{name: label, rate: 20, tasks: 2, cores: 4, work: 50ms, value: 1}]
`

func TestSimulateReportsAllPolicies(t *testing.T) {
	is := is.New(t)
	x, err := emulator.Parse([]byte(tinyExperiment))
	is.NoErr(err)
	played := 0
	report, err := emulator.RunAll(t.Context(), x, 2, func(string, *emulator.Result) { played++ })
	is.NoErr(err)
	is.Equal(played, 4) // two policies, two seeds
	command := simulateCommand{CSV: filepath.Join(t.TempDir(), "windows.csv")}
	var table bytes.Buffer
	is.NoErr(command.print(&table, report, x))
	for _, want := range []string{emulator.PolicyProduct, emulator.PolicyPerfect, "label", "worst windows"} {
		is.True(strings.Contains(table.String(), want))
	}
	file, err := os.Open(command.CSV)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	rows, err := csv.NewReader(file).ReadAll()
	is.NoErr(err)
	is.Equal(len(rows), 5) // a head and one window of each run
	var asJSON bytes.Buffer
	is.NoErr(simulateCommand{JSON: true}.print(&asJSON, report, x))
	is.NoErr(json.Unmarshal(asJSON.Bytes(), new(emulator.Report)))
}

func TestSimulateRejectsBadExperiments(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(tinyExperiment, "rate: 20", "rate: -1", 1)), 0o600))
	err := simulateCommand{File: path}.Run()
	is.Equal(exitCode(err), ExitUsage)
	is.True(strings.Contains(err.Error(), "classes[0].rate")) // it names the field
	is.True(strings.Contains(err.Error(), path))
	is.Equal(exitCode(simulateCommand{File: path + "x"}.Run()), ExitFailure)
}
