package capacity

import (
	"fmt"
	"math"

	"marjoramlug.example/marjoramlug/load/slopes"
)

// model answers questions about the target from a report.
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

// last is the value at the greatest size measured.
func (m *model) atLargestSize(name slopes.SeriesName) float64 {
	s, err := m.report.Get(name)
	if err != nil || len(s.Points) == 0 {
		m.err = fmt.Errorf("series %s has no points", name)
		return 0
	}
	return s.Points[len(s.Points)-1].Median
}

// lastSize is the greatest size measured.
func (m *model) largestSize(name slopes.SeriesName) float64 {
	s, err := m.report.Get(name)
	if err != nil || len(s.Points) == 0 {
		m.err = fmt.Errorf("series %s has no points", name)
		return 1
	}
	return s.Points[len(s.Points)-1].Size
}

// between is the value between the measured points.
func (m *model) interpolated(name slopes.SeriesName, size float64) float64 {
	s, err := m.report.Get(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s.Between(size)
}

// StartsPerNode is the number of starts a second at each worker.
const StartsPerNode = float64(StartsPerSecond) / Workers

// workersPerRegion is the number of agents that one entry may hold, as
// services name a region.
const workersPerRegion = float64(Workers) / Regions

// ownerMicros is the owner's processor time per start. A start of a small job
// travels alone, those of a large one share writes.
func (m *model) ownerMicros(tasks float64) float64 {
	if tasks < sharedWriteTasks {
		return m.atLargestSize(slopes.OwnerPacedCPU) / m.largestSize(slopes.OwnerPacedCPU)
	}
	return m.interpolated(slopes.OwnerJobCPU, tasks) / tasks
}

func (m *model) relayMicros(tasks float64) float64 {
	return m.interpolated(slopes.RelayJobCPU, tasks) / tasks
}

// cores is the number of cores that a cost per start takes at the peak.
func cores(microsPerStart float64) float64 { return microsPerStart * StartsPerSecond / microsPerCore }

// sessionCores is what the agents' sessions cost all entries together.
func (m *model) sessionCores() float64 {
	return m.slope(slopes.EntryRestCPU) * Workers * SessionsPerAgent / microsPerCore
}

// entryCores is the number of cores of all entries together.
func (m *model) entryCores(tasks float64) float64 {
	return cores(m.ownerMicros(tasks)) + cores(m.relayMicros(tasks)) + m.sessionCores()
}

// entries is the number of entries: enough for the peak in each region with
// one of its availability zones lost.
func (m *model) entries(tasks float64) float64 {
	const zonesPerRegion = float64(Zones) / Regions
	perRegion := m.entryCores(tasks) / Regions / (EntryCores * EntryUse)
	withZoneLost := perRegion * zonesPerRegion / (zonesPerRegion - 1)
	return Regions * math.Max(math.Ceil(withZoneLost), math.Ceil(zonesPerRegion))
}

// recordsPerEntry is the number of ended jobs that one entry remembers.
func (m *model) recordsPerEntry(tasks float64) float64 {
	return StartsPerSecond / tasks * JobsKept.Seconds() / m.entries(tasks)
}

// answerMemory is the memory of the answers that one entry keeps, which each
// service's bound limits.
func (m *model) answerMemory(tasks float64) float64 {
	perTask := m.slope(slopes.CoreRecordMemory) - m.slope(slopes.CoreRecordBare)
	servicesPerEntry := Services / m.entries(tasks)
	return math.Min(perTask*tasks*m.recordsPerEntry(tasks), AnswerBytes*servicesPerEntry)
}

// entryMemory is the memory of an entry without queued tasks.
func (m *model) entryMemory(tasks float64) float64 {
	live := m.fit(slopes.EntryRestMemory).At(workersPerRegion) +
		m.slope(slopes.StateMemory)*Services +
		m.slope(slopes.CoreRecordBare)*m.recordsPerEntry(tasks) +
		m.answerMemory(tasks)
	return HeapOverhead * live
}

// entryBytes is what an entry exchanges with agents and other entries at the
// peak, both directions, with payload of 200 B each way.
func (m *model) entryBytes(tasks float64) float64 {
	perJob := m.interpolated(slopes.OwnerJobAgents, tasks) + 2*m.interpolated(slopes.OwnerJobRelay, tasks)
	return perJob / tasks * StartsPerSecond / m.entries(tasks)
}

// agentControl is the bytes of control per start at an agent: the line's value
// without payload.
func (m *model) agentControl() float64 { return m.fit(slopes.AgentPayloadBytes).Intercept }

// agentPayload is the bytes of control and payload per start at an agent.
func (m *model) agentPayload(body float64) float64 { return m.fit(slopes.AgentPayloadBytes).At(body) }

// sessionBytes is what one session at rest costs, both directions.
func (m *model) sessionBytes() float64 {
	return m.slope(slopes.EntryRestReceived) + m.slope(slopes.EntryRestSent)
}

// leanSaving is what shorter start and result messages would save per start.
func (m *model) leanSaving() float64 {
	return m.fit(slopes.StartBytes).Intercept - m.fit(slopes.StartLean).Intercept +
		m.fit(slopes.ResultBytes).Intercept - m.fit(slopes.ResultLean).Intercept
}

// agentBytes is the traffic of control of an agent with some sessions.
func (m *model) agentBytes(perStart, sessions float64) float64 {
	return perStart*StartsPerNode + m.sessionBytes()*sessions
}

// agentMicros is an agent's processor time a second.
func (m *model) agentMicros(sessions float64) float64 {
	return m.interpolated(slopes.AgentCPU, StartsPerNode) + (sessions-1)*m.slope(slopes.EntryRestCPU)
}

// exchangeMicros is the part of an agent's processor time that goes into the
// HTTP exchanges with its endpoints.
func (m *model) exchangeMicros() float64 { return m.interpolated(slopes.ExchangeCPU, StartsPerNode) }

func (m *model) agentMemory() float64 {
	f := m.fit(slopes.AgentJournalMemory)
	return HeapOverhead * f.At(StartsPerNode*JournalKept.Seconds())
}

// logAppends is the number of appends a second that entries make at rest.
func (m *model) logAppends(entries float64) float64 {
	return m.slope(slopes.LogRestAppends) * entries / 60
}
