package capacity

import (
	"fmt"

	"marjoramlug.example/marjoramlug/load/slopes"
)

// gapsTable lists the limits that are exceeded, by how much, and what would close
// the gap.
func (m *model) gapsTable() string {
	t := newTable("What", "Figure", "Target", "Gap", "What would close it")
	control := m.agentBytes(m.agentControl(), SessionsPerAgent)
	shorter := m.agentBytes(m.agentControl()-m.shorterMessagesSaving(), SessionsPerAgent)
	t.add("a node's bytes of control", kilobytesPerSecond(control), kilobytesPerSecond(WorkerBytesPerSecond), kilobytesPerSecond(control-WorkerBytesPerSecond),
		fmt.Sprintf("(1) shorter messages: %s B less a start, measured by encoding them, gives %s, and %s on sessions without heartbeats", formatNumber(m.shorterMessagesSaving()), kilobytesPerSecond(shorter), kilobytesPerSecond(m.agentBytes(m.agentControl()-m.shorterMessagesSaving(), 0))))
	payload := m.agentBytes(m.agentPayload(payloadBody), SessionsPerAgent)
	t.add(fmt.Sprintf("the same with bodies of %d B each way", payloadBody), kilobytesPerSecond(payload), kilobytesPerSecond(WorkerBytesPerSecond), kilobytesPerSecond(payload-WorkerBytesPerSecond),
		"nothing in the dispatcher: the bodies are the callers'")
	micros, limit := m.agentMicros(SessionsPerAgent), WorkerCPUShare*microsPerCore
	t.add("a node's processor time", percentOfCore(micros), percentOfCore(limit), percentOfCore(micros-limit),
		fmt.Sprintf("(2) a leaner exchange with the endpoint, which takes %s of it", percentOfCore(m.exchangeMicros())))
	both := micros + m.entryCores(1)*microsPerCore/Workers
	t.add("agents and entries together per node, jobs of one task", percentOfCore(both), percentOfCore(limit), percentOfCore(both-limit),
		"(3) entries of their own, as planned; larger jobs")
	for _, n := range jobSizes {
		answers := HeapOverhead * m.answerMemory(n)
		t.add("an entry's memory, jobs of "+withThousands(n), megabytes(m.entryMemory(n)), megabytes(WorkerMemoryBytes), megabytes(m.entryMemory(n)-WorkerMemoryBytes),
			fmt.Sprintf("(4) a lower `limits.answer_bytes`, as kept answers take %s; shorter memory of single requests", megabytes(answers)))
	}
	burst := m.journalBurst() / TakeoverTimeout.Seconds()
	t.add("a node's bytes while a successor reads journals", kilobytesPerSecond(burst), kilobytesPerSecond(WorkerBytesPerSecond), kilobytesPerSecond(burst-WorkerBytesPerSecond),
		"(5) journals without the answers that were delivered")
	return t.String()
}

// payloadBody is the size of each body in the rows with payload, in bytes.
const payloadBody = 200

// journalBurst returns the bytes of journal that an agent sends to the successor
// of one lost entry.
func (m *model) journalBurst() float64 {
	return m.slope(slopes.JournalBytes) * StartsPerSecondPerWorker * JournalRetention.Seconds() / m.entries(MeanTasksPerJob)
}
