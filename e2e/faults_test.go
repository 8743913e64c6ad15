//go:build processes

package e2e

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/verdict"
)

// streamTime is how long a stream runs before a fault, and again after it.
const streamTime = 3 * time.Second

func TestResubmissionToAnotherEntryGivesTheSameAnswer(t *testing.T) {
	c := startCluster(t, 3, 3)
	job, _ := newJob("once", 10, 200)
	first, err := c.client("press", c.entries[0]).Submit(t.Context(), job)
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.client("press", c.entries[1]).Submit(t.Context(), job)
	if err != nil {
		t.Fatal(err)
	}
	for i := range first.Tasks {
		if first.Tasks[i].Body != second.Tasks[i].Body {
			t.Errorf("task %d: %q and %q", i, first.Tasks[i].Body, second.Tasks[i].Body)
		}
	}
	for key, n := range c.starts() {
		if n != 1 {
			t.Errorf("%s started %d times", key, n)
		}
	}
	job.Tasks = job.Tasks[1:]
	if _, err := c.client("press", c.entries[2]).Submit(t.Context(), job); verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) != verdict.ReasonContentMismatch {
		t.Errorf("other content under the same ID: got %v, want a refusal for content mismatch", err)
	}
}

func TestKilledAgentFailsItsOwnTasksOnly(t *testing.T) {
	c := startCluster(t, 3, 3)
	job, keys := newJob("big", 120, 600)
	killed := c.agents[0]
	answered := make(chan *api.JobResponse, 1)
	go func() {
		resp, _ := c.client("press", c.entries[0]).Submit(t.Context(), job)
		answered <- resp
	}()
	c.await("tasks to run at the agent", func() bool { return len(c.endpoints[0].Starts()) >= slots })
	killed.kill()
	resp := <-answered
	if resp == nil || resp.State != api.StateFailed || resp.Verdict != verdict.MayHaveRun {
		t.Fatalf("answer %+v, want a failed job", resp)
	}
	starts := c.starts()
	mayHaveRun := 0
	for i, task := range resp.Tasks {
		switch {
		case task.Verdict == verdict.MayHaveRun:
			mayHaveRun++
			if c.endpoints[0].Starts()[keys[i]] != 1 {
				t.Errorf("%s: may have run, but the killed agent never started it", keys[i])
			}
		case task.Verdict != verdict.Ran || starts[keys[i]] != 1:
			t.Errorf("%s: verdict %s, %d starts", keys[i], task.Verdict, starts[keys[i]])
		}
	}
	if mayHaveRun == 0 || mayHaveRun > slots {
		t.Errorf("%d tasks may have run, want 1 to %d", mayHaveRun, slots)
	}
	t.Logf("%d of %d tasks failed with may-have-run", mayHaveRun, len(keys))
}

// injectFault starts a stream through all entries except the owner, injects a
// fault, waits until a successor starts tasks and returns the stream, which still
// runs.
func (c *cluster) injectFault(owner *process, fault func()) *stream {
	c.t.Helper()
	s := c.startStream(c.others(owner)...)
	time.Sleep(streamTime)
	fault()
	begin := time.Now()
	// Starts that the owner sent before the fault may still arrive.
	time.Sleep(200 * time.Millisecond)
	c.t.Logf("from the fault to the successor's first start: %s", c.awaitStarts(begin, len(c.starts())))
	time.Sleep(streamTime)
	return s
}

func TestKilledOwner(t *testing.T) {
	c := startCluster(t, 3, 4)
	owner := c.owner()
	c.injectFault(owner, owner.kill).end(t)
}

func TestKilledOwnerAndAgent(t *testing.T) {
	c := startCluster(t, 3, 4)
	owner := c.owner()
	s := c.injectFault(owner, func() {
		owner.kill()
		c.agents[0].kill()
	})
	s.end(t)
}

func TestPausedOwner(t *testing.T) {
	c := startCluster(t, 3, 4)
	owner := c.owner()
	s := c.injectFault(owner, func() { owner.signal(syscall.SIGSTOP) })
	owner.signal(syscall.SIGCONT)
	time.Sleep(streamTime)
	s.end(t)
}

func TestPlannedStopOfTheOwnerFailsNothing(t *testing.T) {
	c := startCluster(t, 3, 4)
	owner := c.owner()
	s := c.startStream(c.entries...)
	time.Sleep(streamTime)
	owner.signal(syscall.SIGTERM)
	begin := time.Now()
	<-owner.exited
	t.Logf("the owner stopped after %s with code %d", time.Since(begin), owner.cmd.ProcessState.ExitCode())
	if code := owner.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	time.Sleep(streamTime)
	s.endWithoutFailure(t)
}

func TestEntriesReplacedOneByOne(t *testing.T) {
	c := startCluster(t, 3, 3)
	s := c.startStream(c.entries...)
	time.Sleep(streamTime)
	for _, e := range c.entries {
		e.signal(syscall.SIGTERM)
		<-e.exited
		restarted := c.start(e.name+"-again", "entry", c.dir+"/"+e.name+".yaml")
		e.cmd, e.exited = restarted.cmd, restarted.exited
		c.await(e.name, func() bool { return c.getStatus(e.http+"/readyz") == http.StatusOK })
	}
	time.Sleep(streamTime)
	s.endWithoutFailure(t)
}

func TestLogOutage(t *testing.T) {
	c := startCluster(t, 3, 3)
	owner := c.owner()
	s := c.startStream(c.entries...)
	time.Sleep(streamTime)
	c.setLogFaults(`{"down":true}`)
	time.Sleep(time.Minute)
	if c.owner() != owner {
		t.Error("the owner changed during the outage")
	}
	c.setLogFaults(`{}`)
	begin := time.Now()
	c.configure(c.entries[0], "after-the-outage")
	c.await("the change to be in force everywhere", func() bool {
		for _, e := range c.entries {
			if !strings.Contains(c.getBody(e.http+"/v1/config/"+service), "after-the-outage") {
				return false
			}
		}
		return true
	})
	t.Logf("in force on all entries %s after the log's return", time.Since(begin))
	time.Sleep(streamTime)
	s.endWithoutFailure(t)
	if c.gaugeOf(owner, "takeovers") != 0 {
		t.Error("a shard was taken over during the outage")
	}
}

func (c *cluster) setLogFaults(faults string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPut, c.logURL+"/v1/faults", strings.NewReader(faults))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		c.t.Fatalf("set faults: %s", resp.Status)
	}
}

func (c *cluster) getBody(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}
