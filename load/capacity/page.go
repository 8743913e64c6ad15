package capacity

import (
	"fmt"
	"strings"

	"marjoramlug.example/marjoramlug/load/slopes"
)

// Update returns the page with its tables recomputed from a report. A table is
// delimited by the HTML comments "table NAME" and "end NAME". It fails if the
// page lacks a table or the report lacks a series.
func Update(page string, report *slopes.Report) (string, error) {
	m := &model{report: report}
	for _, part := range []struct {
		name   string
		render func() string
	}{
		{"node", m.workerTable},
		{"entries", m.entriesTable},
		{"entry", m.entryTable},
		{"log", m.logTable},
		{"configuration", m.configTable},
		{"failures", m.failuresTable},
		{"gaps", m.gapsTable},
		{"slopes", m.slopesTable},
	} {
		text := part.render()
		if m.err != nil {
			return "", fmt.Errorf("table %s: %w", part.name, m.err)
		}
		var err error
		if page, err = replaceTable(page, part.name, text); err != nil {
			return "", err
		}
	}
	return page, nil
}

func replaceTable(page, name, text string) (string, error) {
	opening := "<!-- table " + name + " -->\n"
	closing := "<!-- end " + name + " -->"
	before, rest, found := strings.Cut(page, opening)
	_, after, closed := strings.Cut(rest, closing)
	if !found || !closed {
		return "", fmt.Errorf("the page has no table %s", name)
	}
	return before + opening + text + closing + after, nil
}
