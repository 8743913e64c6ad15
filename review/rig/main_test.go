//go:build review

// Package rig starts the project's programs as a small deployment on loopback addresses and
// plays the cases of the review that are scripts.
package rig

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario plays a case. Without trouble the disruption is left out.
type scenario func(r *record, trouble bool) error

var scenarios = map[string]scenario{
	"cancelled-copy":   cancelledCopy,
	"restarted-cancel": restartedCancel,
	"dropped-route":    droppedRoute,
	"frozen-backlog":   frozenBacklog,
	"pipelined-reset":  pipelinedReset,
}

// TestMain plays the case named by the first argument, and writes what was seen into the folder
// named by the second.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "the program of the deploy file is not built:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// play returns the exit code of a case. The processes that it started end with this one.
func play(s scenario, folder string) int {
	r := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("TROUBLE=%v", trouble)
	done := make(chan error, 1)
	go func() { done <- s(r, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var err error
	select {
	case err = <-done:
	case <-time.After(timeLimit):
		err = fmt.Errorf("%w: it takes longer than %v", errNotRun, timeLimit)
	case <-stop:
		err = fmt.Errorf("%w: stopped by a signal", errNotRun)
	}
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		r.add("%v", err)
		if !errors.Is(err, errNotRun) {
			r.add("the case could not run")
		}
	case len(r.broken) > 0:
		code = exitBroken
	}
	if code != exitNotRun {
		r.add("%s; exit code %d", map[bool]string{true: "the rule was broken", false: "the rule held"}[code == exitBroken], code)
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.write(file)
	if err := file.Close(); err != nil {
		return exitNotRun
	}
	for _, line := range r.broken {
		fmt.Println("broken:", line)
	}
	fmt.Println(r.lines[len(r.lines)-1])
	return code
}
