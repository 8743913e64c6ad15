//go:build review

package rig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipelinedReset lets a client send two jobs on one connection, the second before the answer to
// the first. The connection is reset, and the client submits both again at another entry.
func pipelinedReset(r *record, trouble bool) error {
	c, err := newCluster(r, 2, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	first, second := c.entries[0], c.entries[1]
	jobs := []job{c.newJob(1450*time.Millisecond, clientDeadline), c.newJob(1450*time.Millisecond, clientDeadline)}
	conn, err := net.Dial("tcp", first.http)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer func() { _ = conn.Close() }()
	// Of the two open connections to this entry, one is reset.
	idle, err := net.Dial("tcp", first.http)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer func() { _ = idle.Close() }()
	var requests bytes.Buffer
	for _, j := range jobs {
		if err := j.request(context.Background(), http.MethodPost, first).Write(&requests); err != nil {
			return err
		}
		r.add("client: POST /%s/%s to %s, pipelined", j.queue, j.id, first.name)
	}
	both := requests.Bytes()
	size := bytes.LastIndex(both, []byte("POST "))
	for _, part := range [][]byte{both[:size], both[size:]} {
		if _, err := conn.Write(part); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		if err := c.awaitRuns(jobs[0]); err != nil {
			return err
		}
	}
	if trouble {
		// Closing resets the connection.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		r.add("the connection to %s is reset", first.name)
		time.Sleep(retransmit)
		var clients sync.WaitGroup
		for _, j := range jobs {
			clients.Go(func() { c.post(second, j) })
		}
		clients.Wait()
	} else {
		c.readAnswers(conn, first, jobs)
	}
	for _, j := range jobs {
		if a, b, d := r.overlap(j.id); d > 0 {
			r.violation("TWICE: %s on %s and on %s at the same time for %v", a.task, a.runner, b.runner, d)
		}
	}
	return nil
}

// readAnswers reads the answers to pipelined requests.
func (c *cluster) readAnswers(conn net.Conn, e *process, jobs []job) {
	_ = conn.SetReadDeadline(time.Now().Add(2 * clientDeadline))
	answers := bufio.NewReader(conn)
	for _, j := range jobs {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			c.record.add("client: POST /%s/%s at %s: %v", j.queue, j.id, e.name, err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		c.record.add("client: POST /%s/%s at %s: %d", j.queue, j.id, e.name, resp.StatusCode)
	}
}
