package capacity

import (
	"fmt"
	"math"

	"marjoramlug.example/marjoramlug/load/slopes"
)

// model computes the needs at the target size from a report. A series that
// is missing or has no points sets err.
type model struct {
	report *slopes.Report
	err    error
}

func (m *model) fit(name slopes.SeriesName) slopes.Fit {
	s, err := m.report.Get(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s.Fit
}

func (m *model) slope(name slopes.SeriesName) float64 { return m.fit(name).Slope }

// atLargestSize returns the value at the largest measured size.
func (m *model) atLargestSize(name slopes.SeriesName) float64 {
	s, err := m.report.Get(name)
	if err != nil || len(s.Points) == 0 {
		m.err = fmt.Errorf("series %s has no points", name)
		return 0
	}
	return s.Points[len(s.Points)-1].Median
}

// largestSize returns the largest measured size, or 1 without points.
func (m *model) largestSize(name slopes.SeriesName) float64 {
	s, err := m.report.Get(name)
	if err != nil || len(s.Points) == 0 {
		m.err = fmt.Errorf("series %s has no points", name)
		return 1
	}
	return s.Points[len(s.Points)-1].Size
}

// interpolated returns the value at a size by interpolation between the measured
// points, or the fitted line's value beyond them.
func (m *model) interpolated(name slopes.SeriesName, size float64) float64 {
	s, err := m.report.Get(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s.Interpolate(size)
}

// StartsPerSecondPerWorker is the number of starts per second at each worker,
// at the peak.
const StartsPerSecondPerWorker = float64(StartsPerSecond) / Workers

// workersPerRegion is the number of agents that may have a session with one
// entry: those of its region, if each service is configured with a region.
const workersPerRegion = float64(Workers) / Regions

// ownerMicros returns the owner's processor time per start, in microseconds, for
// jobs of the given number of tasks. Each start of a small job is written by
// itself; those of a large job share writes.
func (m *model) ownerMicros(tasks float64) float64 {
	if tasks < sharedWriteTasks {
		return m.atLargestSize(slopes.OwnerPacedCPU) / m.largestSize(slopes.OwnerPacedCPU)
	}
	return m.interpolated(slopes.OwnerJobCPU, tasks) / tasks
}

func (m *model) relayMicros(tasks float64) float64 {
	return m.interpolated(slopes.RelayJobCPU, tasks) / tasks
}

// processorCores returns the number of processor cores for a cost per start at the
// peak rate.
func processorCores(microsPerStart float64) float64 {
	return microsPerStart * StartsPerSecond / microsPerCore
}

// sessionCores returns the number of cores that all agents' sessions take at all
// entries together.
func (m *model) sessionCores() float64 {
	return m.slope(slopes.EntryIdleCPU) * Workers * SessionsPerAgent / microsPerCore
}

// entryCores returns the number of cores that all entries need together.
func (m *model) entryCores(tasks float64) float64 {
	return processorCores(m.ownerMicros(tasks)) + processorCores(m.relayMicros(tasks)) + m.sessionCores()
}

// entries returns the number of entries: enough that each region carries its
// share of the peak after the loss of one of its availability zones, and at least
// one per zone.
func (m *model) entries(tasks float64) float64 {
	const zonesPerRegion = float64(Zones) / Regions
	perRegion := m.entryCores(tasks) / Regions / (EntryCores * EntryUtilization)
	withZoneLost := perRegion * zonesPerRegion / (zonesPerRegion - 1)
	return Regions * math.Max(math.Ceil(withZoneLost), math.Ceil(zonesPerRegion))
}

// endedJobsPerEntry returns the number of ended jobs that one entry keeps.
func (m *model) endedJobsPerEntry(tasks float64) float64 {
	return StartsPerSecond / tasks * JobRetention.Seconds() / m.entries(tasks)
}

// answerMemory returns the memory of the answers that one entry keeps, in bytes.
// The limit of each service bounds it.
func (m *model) answerMemory(tasks float64) float64 {
	perTask := m.slope(slopes.CoreEndedJobMemory) - m.slope(slopes.CoreEndedJobMemoryWithoutAnswers)
	servicesPerEntry := Services / m.entries(tasks)
	return math.Min(perTask*tasks*m.endedJobsPerEntry(tasks), AnswerBytes*servicesPerEntry)
}

// entryMemory returns the memory of an entry without queued tasks, in bytes.
func (m *model) entryMemory(tasks float64) float64 {
	live := m.fit(slopes.EntryIdleMemory).At(workersPerRegion) +
		m.slope(slopes.StateMemory)*Services +
		m.slope(slopes.CoreEndedJobMemoryWithoutAnswers)*m.endedJobsPerEntry(tasks) +
		m.answerMemory(tasks)
	return HeapOverhead * live
}

// entryBytes returns an entry's traffic with agents and other entries at the
// peak, in bytes per second, both directions, with payload of 200 B each way.
func (m *model) entryBytes(tasks float64) float64 {
	perJob := m.interpolated(slopes.OwnerJobAgentBytes, tasks) + 2*m.interpolated(slopes.OwnerJobRelayBytes, tasks)
	return perJob / tasks * StartsPerSecond / m.entries(tasks)
}

// agentControl returns the bytes of control traffic per start at an agent: the
// fitted line's value at a payload of 0.
func (m *model) agentControl() float64 { return m.fit(slopes.AgentPayloadBytes).Intercept }

// agentPayload returns the bytes of control traffic and payload per start at an
// agent, for bodies of the given size each way.
func (m *model) agentPayload(body float64) float64 { return m.fit(slopes.AgentPayloadBytes).At(body) }

// sessionBytes returns the traffic of one idle session, in bytes per second, both
// directions.
func (m *model) sessionBytes() float64 {
	return m.slope(slopes.EntryIdleReceivedBytes) + m.slope(slopes.EntryIdleSentBytes)
}

// shorterMessagesSaving returns the bytes per start that shorter start and result
// messages, which are not implemented, would save.
func (m *model) shorterMessagesSaving() float64 {
	return m.fit(slopes.StartBytes).Intercept - m.fit(slopes.StartLeanBytes).Intercept +
		m.fit(slopes.ResultBytes).Intercept - m.fit(slopes.ResultLeanBytes).Intercept
}

// agentBytes returns an agent's traffic in bytes per second, from its bytes per
// start and its number of sessions.
func (m *model) agentBytes(perStart, sessions float64) float64 {
	return perStart*StartsPerSecondPerWorker + m.sessionBytes()*sessions
}

// agentMicros returns an agent's processor time per second, in microseconds.
func (m *model) agentMicros(sessions float64) float64 {
	return m.interpolated(slopes.AgentCPU, StartsPerSecondPerWorker) + (sessions-1)*m.slope(slopes.EntryIdleCPU)
}

// exchangeMicros returns the part of an agent's processor time per second that
// the HTTP exchanges with its endpoints take, in microseconds.
func (m *model) exchangeMicros() float64 {
	return m.interpolated(slopes.ExchangeCPU, StartsPerSecondPerWorker)
}

func (m *model) agentMemory() float64 {
	f := m.fit(slopes.AgentJournalMemory)
	return HeapOverhead * f.At(StartsPerSecondPerWorker*JournalRetention.Seconds())
}

// logAppends returns the number of appends per second by idle entries.
func (m *model) logAppends(entries float64) float64 {
	return m.slope(slopes.LogIdleAppends) * entries / 60
}
