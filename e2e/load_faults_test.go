//go:build processes

package e2e

import (
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// configureOwners applies a configuration whose setting owners is the first line
// of ownersAndMore. Further lines are further settings.
func (c *cluster) configureOwners(e *process, ownersAndMore string) {
	c.t.Helper()
	text := "name: " + service + "\nowners: " + ownersAndMore + "\nrules:\n  - name: label\n    path_prefix: /label\n"
	out, err := exec.Command(binary, "config", "apply", c.write("owners.yaml", text), "--server", e.http).CombinedOutput()
	if err != nil {
		c.t.Fatalf("config apply: %v\n%s", err, out)
	}
}

func TestOwnersFromOneToThreeAndBack(t *testing.T) {
	c := startCluster(t, 3, 4)
	s := c.startStream(c.entries...)
	for _, owners := range []string{"3", "1", "3\npolicy: {queueing: fifo, placement: random}", "1"} {
		time.Sleep(streamTime)
		c.configureOwners(c.entries[0], owners)
	}
	time.Sleep(streamTime)
	s.endWithoutFailure(t)
}

func TestOnlyEntryStopsAfterItsJobs(t *testing.T) {
	c := startCluster(t, 1, 2)
	job, keys := newJob("last", 2*slots, 4000)
	result := make(chan error, 1)
	go func() {
		_, err := c.client("press", c.entries[0]).Submit(t.Context(), job)
		result <- err
	}()
	c.await("the tasks to run", func() bool { return len(c.starts()) == len(keys) })
	c.entries[0].signal(syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Errorf("the job failed: %v", err)
	}
	<-c.entries[0].exited
	if code := c.entries[0].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestFaultsUnderLoad checks the guarantees that hold under every fault, and that
// tasks start again afterwards. Submissions may fail.
func TestFaultsUnderLoad(t *testing.T) {
	faults := map[string]func(c *cluster){
		"agent restarted": func(c *cluster) {
			a := c.agents[0]
			a.kill()
			c.start(a.name+"-again", "agent", c.dir+"/"+a.name+".yaml")
		},
		"agent paused": func(c *cluster) {
			c.agents[0].signal(syscall.SIGSTOP)
			time.Sleep(2 * streamTime)
			c.agents[0].signal(syscall.SIGCONT)
		},
		"log slow and losing appends and answers, owner killed": func(c *cluster) {
			c.setLogFaults(`{"delay":300000000,"lost_answers":20,"lost_appends":20}`)
			time.Sleep(streamTime)
			owner := c.owner()
			owner.kill()
			c.configureOwners(c.others(owner)[0], "3")
		},
		"all entries restarted at once": func(c *cluster) {
			for _, e := range c.entries {
				e.kill()
			}
			for _, e := range c.entries {
				c.start(e.name+"-again", "entry", c.dir+"/"+e.name+".yaml")
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 3, 4)
			s := c.startStream(c.entries...)
			time.Sleep(streamTime)
			fault(c)
			time.Sleep(2 * streamTime)
			seen := len(c.starts())
			c.await("starts after the fault", func() bool { return len(c.starts()) > seen+100 })
			s.end(t)
		})
	}
}
