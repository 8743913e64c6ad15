package dispatch

import (
	"container/list"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// record is kept for an ended job, so that a resubmission gets the same answer
// instead of starting the tasks again.
type record struct {
	key         message.JobKey
	shard       int
	fingerprint uint64
	tasks       int
	started     int
	expires     time.Time
	verdict     verdict.Verdict
	// answer is nil if it was evicted.
	answer *message.JobAnswer
	bytes  int64
	// orderElem is the record's element in records.order, answerElem that in
	// records.answers.
	orderElem, answerElem *list.Element
}

// records keeps ended jobs for a limited time and their answers within a limited
// size. All records have the same retention, so jobs expire in the order in
// which they ended.
type records struct {
	byKey   map[message.JobKey]*record
	order   *list.List
	answers *list.List
	bytes   int64
	limit   int64
}

func newRecords(limit int64) records {
	return records{
		byKey:   make(map[message.JobKey]*record),
		order:   list.New(),
		answers: list.New(),
		limit:   limit,
	}
}

// add adds a record and returns the number of answers evicted to stay within the
// limit.
func (r *records) add(rec *record) (evicted uint64) {
	r.byKey[rec.key] = rec
	rec.orderElem = r.order.PushBack(rec)
	rec.answerElem = r.answers.PushBack(rec)
	r.bytes += rec.bytes
	for r.bytes > r.limit && r.answers.Len() > 0 {
		r.evict(r.answers.Front().Value.(*record))
		evicted++
	}
	return evicted
}

func (r *records) evict(rec *record) {
	if rec.answerElem == nil {
		return
	}
	r.answers.Remove(rec.answerElem)
	r.bytes -= rec.bytes
	rec.answerElem, rec.answer = nil, nil
}

func (r *records) remove(rec *record) {
	r.evict(rec)
	r.order.Remove(rec.orderElem)
	delete(r.byKey, rec.key)
}

// expire removes the records that have expired.
func (r *records) expire(now time.Time) {
	for e := r.order.Front(); e != nil; e = r.order.Front() {
		rec := e.Value.(*record)
		if rec.expires.After(now) {
			return
		}
		r.remove(rec)
	}
}

// removeShard removes all records of a shard.
func (r *records) removeShard(shard int) {
	for e := r.order.Front(); e != nil; {
		rec := e.Value.(*record)
		e = e.Next()
		if rec.shard == shard {
			r.remove(rec)
		}
	}
}

// next returns when the oldest record expires, or zero.
func (r *records) next() time.Time {
	if e := r.order.Front(); e != nil {
		return e.Value.(*record).expires
	}
	return time.Time{}
}

// reply returns the answer, or a refusal with ReasonAnswerEvicted if it was
// evicted.
func (rec *record) reply() *message.JobAnswer {
	if rec.answer != nil {
		return rec.answer
	}
	a := message.Refusal(rec.verdict, verdict.ReasonAnswerEvicted, "the job has ended, but its answer is no longer kept")
	return &a
}

func (rec *record) status() message.Status {
	return message.Status{
		Known:   true,
		Ended:   true,
		Tasks:   rec.tasks,
		Started: rec.started,
		Done:    rec.tasks,
		Answer:  rec.reply(),
	}
}

// resultOverhead is the size in bytes of a task's result without its variable
// parts.
const resultOverhead = 160

func answerSize(a *message.JobAnswer) int64 {
	size := int64(len(a.Detail))
	for i := range a.Tasks {
		size += resultSize(&a.Tasks[i])
	}
	return size
}

func resultSize(r *message.TaskResult) int64 {
	size := resultOverhead + len(r.Body) + len(r.Detail) + len(r.Endpoint)
	for _, h := range r.Header {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
