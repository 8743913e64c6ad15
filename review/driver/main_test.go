//go:build review

// Package driver plays the scripted cases of the review: it starts the project's
// programs as separate processes on loopback addresses, with stand-ins for the store, the
// runners and the clients.
package driver

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases holds, by name, the cases. A case returns an exit code; trouble is false for a
// run without the disruption.
var cases = map[string]func(rec *record, trouble bool) int{
	"cancel-during-freeze":    cancelDuringFreeze,
	"copy-of-a-cancelled-job": copyOfACancelledJob,
	"cancel-at-another-entry": cancelAtAnotherEntry,
	"cancel-on-removed-queue": cancelOnRemovedQueue,
}

// TestMain is the program: driver CASE RECORD.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD, with TROUBLE=0 for a run without the disruption")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", os.Args[1], trouble)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](rec, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := notRun
	select {
	case code = <-result:
	case s := <-signals:
		rec.line("ended by signal %v", s)
		closeOpen()
	case <-time.After(caseTimeout):
		rec.line("not finished after %v", caseTimeout)
		closeOpen()
	}
	rec.line("exit code %d", code)
	fmt.Println([]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	os.Exit(code)
}

// openCluster is the cluster that is to be ended when the program ends early.
var openCluster atomic.Pointer[cluster]

func closeOpen() {
	if c := openCluster.Load(); c != nil {
		c.close()
	}
}

// withCluster starts a deployment, plays a case on it and ends it.
func withCluster(rec *record, work func(task string) (time.Duration, string), play func(c *cluster) int) int {
	c, err := newCluster(rec, work)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		rec.line("could not start: %v", err)
		return notRun
	}
	// The time in which all machines get in touch.
	time.Sleep(contactTime)
	return play(c)
}
