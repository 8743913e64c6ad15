package slopes

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
)

// SeriesName is the name of a series, as it appears in the report.
type SeriesName string

// The names of all series.
const (
	EntryIdleCPU           SeriesName = "entry.rest.cpu"
	EntryIdleReceivedBytes SeriesName = "entry.rest.received"
	EntryIdleSentBytes     SeriesName = "entry.rest.sent"
	EntryIdleMemory        SeriesName = "entry.rest.memory"

	OwnerPacedCPU        SeriesName = "owner.paced.cpu"
	OwnerPacedAgentBytes SeriesName = "owner.paced.agent_bytes"
	OwnerPacedRelayBytes SeriesName = "owner.paced.relay_bytes"
	OwnerJobCPU          SeriesName = "owner.job.cpu"
	OwnerJobAgentBytes   SeriesName = "owner.job.agent_bytes"
	OwnerJobRelayBytes   SeriesName = "owner.job.relay_bytes"
	RelayJobCPU          SeriesName = "relay.job.cpu"
	AgentCPU             SeriesName = "agent.starts.cpu"
	AgentReceivedBytes   SeriesName = "agent.starts.received"
	AgentSentBytes       SeriesName = "agent.starts.sent"
	AgentPayloadBytes    SeriesName = "agent.payload.bytes"
	AgentPackets         SeriesName = "agent.payload.packets"
	AgentJournalMemory   SeriesName = "agent.journal.memory"

	ExchangeCPU SeriesName = "agent.exchange.cpu"

	CoreAgentsStartCPU               SeriesName = "core.agents.start"
	CoreAgentsHeartbeatCPU           SeriesName = "core.agents.heartbeat"
	CoreAgentsMemory                 SeriesName = "core.agents.memory"
	CoreQueueStartCPU                SeriesName = "core.queue.start"
	CoreQueueMemory                  SeriesName = "core.queue.memory"
	CoreEndedJobMemory               SeriesName = "core.records.memory"
	CoreEndedJobMemoryWithoutAnswers SeriesName = "core.records.bare_memory"
	RenewFoldCPU                     SeriesName = "log.renew.fold"
	JoinFoldCPU                      SeriesName = "log.join.fold"
	RenewBytes                       SeriesName = "log.renew.bytes"
	SnapshotServicesBytes            SeriesName = "log.snapshot.services"
	SnapshotServicesCPU              SeriesName = "log.snapshot.services_time"
	SnapshotAgentsBytes              SeriesName = "log.snapshot.agents"
	SnapshotMembersBytes             SeriesName = "log.snapshot.members"
	StateMemory                      SeriesName = "log.state.memory"
	ConfigFoldCPU                    SeriesName = "config.change.fold"
	ConfigRecordBytes                SeriesName = "config.change.record"
	ViewBytes                        SeriesName = "config.view.bytes"
	DirectoryViewCPU                 SeriesName = "membership.view.cpu"
	DirectoryMemory                  SeriesName = "membership.agent.memory"
	LogIdleAppends                   SeriesName = "log.rest.appends"
	LogIdleBytes                     SeriesName = "log.rest.bytes"
	LogIdleCPU                       SeriesName = "log.rest.cpu"
	ConfigInForce                    SeriesName = "config.change.in_force"
	StartLeanBytes                   SeriesName = "message.start_lean.bytes"
	ResultLeanBytes                  SeriesName = "message.result_lean.bytes"
	ConfigTeamRecordBytes            SeriesName = "config.teams.record"
	ConfigTeamFoldCPU                SeriesName = "config.teams.fold"
	JournalBytes                     SeriesName = "message.journal.bytes"
	StartBytes                       SeriesName = "message.start.bytes"
	ResultBytes                      SeriesName = "message.result.bytes"
)

// Machine describes the machine that the report was measured on.
type Machine struct {
	Cores int    `json:"cores"`
	OS    string `json:"os"`
	Go    string `json:"go"`
}

// Report holds all measured series.
type Report struct {
	Machine Machine  `json:"machine"`
	Series  []Series `json:"series"`
}

// NewReport returns an empty report of this machine.
func NewReport() *Report {
	return &Report{Machine: Machine{
		Cores: runtime.NumCPU(), OS: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version(),
	}}
}

// add fits a series and adds it; it replaces a series of the same name.
func (r *Report) add(s Series) {
	s.Fit = LeastSquares(s.Points)
	for i := range r.Series {
		if r.Series[i].Name == s.Name {
			r.Series[i] = s
			return
		}
	}
	r.Series = append(r.Series, s)
}

// Get returns the series of the given name, and an error if there is none.
func (r *Report) Get(name SeriesName) (Series, error) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, fmt.Errorf("no series %s in the report", name)
}

// Read reads a report from a JSON file.
func Read(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return r, nil
}

// Write writes the report to a JSON file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
