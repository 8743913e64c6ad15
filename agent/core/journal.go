package core

import (
	"cmp"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// acceptedStart is a start in the journal. It is kept for the journal window after
// its run has ended, unless the journal holds more than maxStarts starts.
type acceptedStart struct {
	message.JournalEntry
	service string
	// acceptIndex is the position of the start in the order of acceptance, from 1.
	acceptIndex uint64
	acceptedAt  time.Time
	endedAt     time.Time
	// answerBytes is the size of the answer, or 0 if there is none or it was
	// evicted.
	answerBytes int64
	sent        bool
	cancelled   bool
}

// journal keeps the accepted starts. A start is evicted only when its window has
// passed or the maximum number of starts is exceeded; completeSince advances then.
type journal struct {
	window         time.Duration
	maxAnswerBytes int64
	maxStarts      int

	starts map[message.StartID]*acceptedStart
	// acceptIndex is the index of the start that was accepted last.
	acceptIndex uint64
	// ended holds the starts whose runs have ended, in the order of their ends.
	ended []*acceptedStart
	// unsent holds the ended starts whose answers have not been sent, in the order
	// in which they ended. sent holds those whose answers have been sent, in the
	// order of sending. answers is the size in bytes of the answers of both.
	sent, unsent []*acceptedStart
	answers      int64
	running      int
	// completeSince is a Unix time in milliseconds: the journal holds all starts that
	// were accepted at or after it.
	completeSince int64
	// evictedUntil is the Unix time in milliseconds at which the newest evicted
	// start was accepted, or 0 if this incarnation of the agent has evicted none.
	evictedUntil int64
}

func newJournal(o Options, now time.Time) *journal {
	return &journal{
		window:         o.JournalWindow,
		maxAnswerBytes: o.JournalBytes,
		maxStarts:      o.JournalStarts,
		starts:         map[message.StartID]*acceptedStart{},
		completeSince:  now.UnixMilli(),
	}
}

func (j *journal) add(now time.Time, m *message.Start) *acceptedStart {
	j.acceptIndex++
	e := &acceptedStart{
		JournalEntry: message.JournalEntry{
			Shard: m.Shard, Job: m.Job, Index: m.Index, ID: m.ID, Fingerprint: m.Fingerprint,
			State: message.StartRunning, Endpoint: m.Endpoint,
		},
		service:     m.Service,
		acceptIndex: j.acceptIndex,
		acceptedAt:  now,
	}
	j.starts[m.ID] = e
	j.running++
	return e
}

// end records the result of a running start.
func (j *journal) end(now time.Time, e *acceptedStart, result message.TaskResult) {
	e.State = message.StartEnded
	e.Result = result
	e.endedAt = now
	j.running--
	j.ended = append(j.ended, e)
	e.answerBytes = answerBytes(result)
	if e.answerBytes > 0 {
		j.answers += e.answerBytes
		j.unsent = append(j.unsent, e)
	}
}

// markSent records that a result was sent. Sent answers are evicted before those
// that nobody has received.
func (j *journal) markSent(e *acceptedStart) {
	if e.sent {
		return
	}
	e.sent = true
	if e.answerBytes == 0 {
		return
	}
	if i := slices.Index(j.unsent, e); i >= 0 {
		j.unsent = slices.Delete(j.unsent, i, i+1)
		j.sent = append(j.sent, e)
	}
}

// trim evicts ended starts whose window has passed and, beyond maxStarts, those that
// ended first. It evicts answers beyond maxAnswerBytes, sent ones first. It returns
// the numbers of evicted answers and starts.
func (j *journal) trim(now time.Time) (answers, starts int) {
	for len(j.ended) > 0 && (now.Sub(j.ended[0].endedAt) > j.window || len(j.starts) > j.maxStarts) {
		j.evictStart(j.ended[0])
		j.ended = j.ended[1:]
		starts++
	}
	j.sent = skipEvicted(j.sent)
	j.unsent = skipEvicted(j.unsent)
	for j.answers > j.maxAnswerBytes {
		queue := &j.sent
		if len(*queue) == 0 {
			queue = &j.unsent
		}
		e := (*queue)[0]
		*queue = (*queue)[1:]
		if e.answerBytes == 0 {
			continue
		}
		j.removeAnswer(e)
		e.Result.Reason = verdict.ReasonAnswerEvicted
		answers++
	}
	return answers, starts
}

// skipEvicted removes the leading starts whose answers were evicted.
func skipEvicted(queue []*acceptedStart) []*acceptedStart {
	for len(queue) > 0 && queue[0].answerBytes == 0 {
		queue = queue[1:]
	}
	return queue
}

// removeAnswer removes the body and the header of a start's answer.
func (j *journal) removeAnswer(e *acceptedStart) {
	j.answers -= e.answerBytes
	e.answerBytes = 0
	e.Result.Body = nil
	e.Result.Header = nil
}

// evictStart removes an ended start. From then on, starts that were accepted no
// later than this one may be missing in the journal.
func (j *journal) evictStart(e *acceptedStart) {
	j.evictedUntil = max(j.evictedUntil, e.acceptedAt.UnixMilli())
	j.completeSince = max(j.completeSince, j.evictedUntil+1)
	j.removeAnswer(e)
	delete(j.starts, e.ID)
}

// undelivered counts the runs that ended after since and whose results were not
// sent.
func (j *journal) undelivered(since time.Time) int {
	n := 0
	for i := len(j.ended) - 1; i >= 0 && j.ended[i].endedAt.After(since); i-- {
		if !j.ended[i].sent {
			n++
		}
	}
	return n
}

// forShards returns the starts of the given shards in the order of acceptance.
func (j *journal) forShards(service string, shards map[int]bool) []*acceptedStart {
	var found []*acceptedStart
	for _, e := range j.starts {
		if e.service == service && shards[e.Shard] {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *acceptedStart) int { return cmp.Compare(a.acceptIndex, b.acceptIndex) })
	return found
}

func answerBytes(r message.TaskResult) int64 {
	n := int64(len(r.Body))
	for _, h := range r.Header {
		n += int64(len(h.Name) + len(h.Value))
	}
	return n
}
