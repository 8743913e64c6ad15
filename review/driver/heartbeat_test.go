//go:build review

package driver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// foreignHeartbeat sends an agent one heartbeat of another writer, which names a service
// that the configuration does not have, while its runner runs tasks.
func foreignHeartbeat(rec *record, trouble bool) int {
	return withCluster(rec, confirmWork, func(c *cluster) int {
		var answers []<-chan clientAnswer
		// 20 jobs of four tasks use most of the runners.
		for i := range 20 {
			answers = append(answers, c.post(c.entries[i%fronts], newID(), jobSpec(4, taskTime), 10*time.Second))
		}
		time.Sleep(600 * time.Millisecond)
		m := c.agents[0]
		if trouble {
			if !c.sendForeignHeartbeat(m) {
				return notRun
			}
		}
		for _, a := range answers {
			<-a
		}
		time.Sleep(2 * time.Second)
		return judgeOverlaps(c)
	})
}

func (c *cluster) sendForeignHeartbeat(m *machine) bool {
	body, _ := json.Marshal(map[string]any{
		"service": "weighing", "address": "127.0.0.1:9", "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "free_capacity": map[string]any{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0},
		"labels": []string{"a"}, "clock_ms": 1000, "seq": 1, "born": time.Now().UnixMilli(),
	})
	req, err := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/i-other", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.record.line("the heartbeat could not be sent: %v", err)
		return false
	}
	_ = resp.Body.Close()
	c.record.line("fault %s got a heartbeat of another writer: %s, and answered %d", m.name, body, resp.StatusCode)
	return true
}

// judgeOverlaps reports whether two runs of one task were alive at the same time.
func judgeOverlaps(c *cluster) int {
	overlaps := c.record.overlaps()
	for _, o := range overlaps {
		c.record.line("TWICE broken: %s ran on %s from %.3f s and on %s from %.3f s, %d ms at the same time",
			o.first.task, o.first.runner, o.first.start.Seconds(), o.second.runner, o.second.start.Seconds(), o.length.Milliseconds())
	}
	if len(overlaps) > 0 {
		return ruleBroken
	}
	c.record.line("TWICE held: no task had two runs at the same time")
	return ruleHeld
}
