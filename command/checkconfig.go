package command

import (
	"fmt"
	"io"
	"os"

	"marjoramlug.example/marjoramlug/platform"
)

type checkConfigCommand struct {
	File    string `arg:"" type:"existingfile" help:"Configuration in the platform's JSON."`
	InForce string `type:"existingfile" help:"Configuration in force, to compare with."`
	JSON    bool   `name:"json" help:"Print the result as JSON."`
}

// Help shows examples below the usage.
func (checkConfigCommand) Help() string {
	return `Checks an operator's configuration of the users' platform before it is sent: faults,
queues that no request reaches, objectives that can't be met, and the difference to the
configuration in force.

Examples:
  marjoramlug check-config next.json
  marjoramlug check-config next.json --in-force current.json --json

Exit codes: 0 valid, warnings included, 1 a file can't be read, 2 at least one fault.`
}

// Run checks the file and prints the result.
func (c checkConfigCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return err
		}
	}
	return c.report(os.Stdout, platform.CheckConfiguration(data, inForce))
}

func (c checkConfigCommand) report(w io.Writer, r platform.ConfigurationReport) error {
	if c.JSON {
		if err := printIndented(w, r); err != nil {
			return err
		}
	} else {
		for _, part := range []struct {
			name  string
			lines []string
		}{{"error", r.Errors}, {"warning", r.Warnings}, {"change", r.Changes}} {
			for _, line := range part.lines {
				if _, err := fmt.Fprintf(w, "%s: %s\n", part.name, line); err != nil {
					return err
				}
			}
		}
	}
	if len(r.Errors) > 0 {
		return fmt.Errorf("%w: %s: %d faults", ErrUsage, c.File, len(r.Errors))
	}
	return nil
}
