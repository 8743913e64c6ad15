package capacity

import (
	"fmt"
	"strings"

	"marjoramlug.example/marjoramlug/load/slopes"
	"marjoramlug.example/marjoramlug/settings"
)

// table is one Markdown table of the page.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) String() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.header)
	fmt.Fprintf(&b, "|%s\n", strings.Repeat("---|", len(t.header)))
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}

// minPrinted is the least absolute value that is not printed as 0.
const minPrinted = 0.005

// formatNumber formats a number: two decimals below 10, one below 100, else none
// and commas between the thousands.
func formatNumber(v float64) string {
	switch {
	case v < minPrinted && v > -minPrinted:
		return "0"
	case v >= 100 || v <= -100:
		return withThousands(v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}

// withThousands formats a number without decimals and with commas between the
// thousands.
func withThousands(v float64) string {
	digits := fmt.Sprintf("%.0f", v)
	sign := ""
	if digits[0] == '-' {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

func percentOfCore(micros float64) string { return fmt.Sprintf("%.2f %%", 100*micros/microsPerCore) }

func kilobytesPerSecond(bytes float64) string { return fmt.Sprintf("%.1f KB/s", bytes/1e3) }

func megabytes(bytes float64) string { return withThousands(bytes/1e6) + " MB" }

// slopesTable lists all measured series.
func (m *model) slopesTable() string {
	t := newTable("Series", "Per", "Unit", "Slope", "Intercept", "Residual", "Sizes", "Spread")
	for _, s := range m.report.Series {
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		t.add("`"+string(s.Name)+"`", s.Driver, s.Unit, formatNumber(s.Fit.Slope), formatNumber(s.Fit.Intercept), formatNumber(s.Fit.Residual),
			formatNumber(first.Size)+" to "+formatNumber(last.Size), spread(s))
	}
	return t.String()
}

// spread returns the widest range of the values at one point, relative to the
// point's median.
func spread(s slopes.Series) string {
	widest := 0.0
	for _, p := range s.Points {
		if p.Samples < 2 {
			return "one run"
		}
		if p.Median != 0 {
			widest = max(widest, (p.High-p.Low)/p.Median)
		}
	}
	return fmt.Sprintf("%.0f %%", 100*widest)
}

func fits(ok bool) string {
	if ok {
		return "fits"
	}
	return "**does not fit**"
}

// workerTable compares the agent's needs with the limits on a worker.
func (m *model) workerTable() string {
	t := newTable("Agent on a node", "Worked out as", "Figure", "Target", "", "Carried by")
	row := func(name, how string, value, limit float64, print func(float64) string, by string) {
		t.add(name, how, print(value), print(limit), fits(value <= limit), by)
	}
	t.add("processor, one session, no starts", "as measured", percentOfCore(m.interpolated(slopes.AgentCPU, 0)), "", "", "one heartbeat a second and session")
	start, rest := m.agentControl(), m.sessionBytes()
	for _, sessions := range []float64{1, SessionsPerAgent} {
		row(fmt.Sprintf("processor, %.0f session(s)", sessions),
			fmt.Sprintf("%s us × %s starts/s + %.0f × %s us/s", formatNumber(m.interpolated(slopes.AgentCPU, StartsPerSecondPerWorker)/StartsPerSecondPerWorker), formatNumber(StartsPerSecondPerWorker), sessions-1, formatNumber(m.slope(slopes.EntryIdleCPU))),
			m.agentMicros(sessions), WorkerCPUShare*microsPerCore, percentOfCore, "credits: no probe, one message each way")
	}
	row("the same without the HTTP exchanges with the endpoint", fmt.Sprintf("the last less %s us × %s exchanges/s", formatNumber(m.exchangeMicros()/StartsPerSecondPerWorker), formatNumber(StartsPerSecondPerWorker)),
		m.agentMicros(SessionsPerAgent)-m.exchangeMicros(), WorkerCPUShare*microsPerCore, percentOfCore, "the same")
	f := m.fit(slopes.AgentJournalMemory)
	row("memory", fmt.Sprintf("%d × (%s B + %s B × %s starts remembered)", HeapOverhead, formatNumber(f.Intercept), formatNumber(f.Slope), formatNumber(StartsPerSecondPerWorker*JournalRetention.Seconds())),
		m.agentMemory(), WorkerMemoryBytes, megabytes, "journal, bounded in time, entries and bytes")
	for _, sessions := range []float64{1, SessionsPerAgent} {
		row(fmt.Sprintf("bytes of control, %.0f session(s)", sessions),
			fmt.Sprintf("%s B × %s starts/s + %.0f × %s B/s", formatNumber(start), formatNumber(StartsPerSecondPerWorker), sessions, formatNumber(rest)),
			m.agentBytes(start, sessions), WorkerBytesPerSecond, kilobytesPerSecond, "the next credit rides on the result")
	}
	shorter := start - m.shorterMessagesSaving()
	row("the same, with shorter messages (proposal 1)", fmt.Sprintf("%s B × %s starts/s + %d × %s B/s", formatNumber(shorter), formatNumber(StartsPerSecondPerWorker), SessionsPerAgent, formatNumber(rest)),
		m.agentBytes(shorter, SessionsPerAgent), WorkerBytesPerSecond, kilobytesPerSecond, "not built")
	for _, body := range []float64{200, 800} {
		row(fmt.Sprintf("with payload of %.0f B each way", body), fmt.Sprintf("%s B × %s starts/s + %d × %s B/s", formatNumber(m.agentPayload(body)), formatNumber(StartsPerSecondPerWorker), SessionsPerAgent, formatNumber(rest)),
			m.agentBytes(m.agentPayload(body), SessionsPerAgent), WorkerBytesPerSecond, kilobytesPerSecond, "the task travels with its start")
	}
	return t.String()
}

// jobSizes are the job sizes, in tasks, for which the entries' needs are computed.
var jobSizes = []float64{1, MeanTasksPerJob, MaxTasksPerJob}

// entriesTable computes how many entries the peak needs.
func (m *model) entriesTable() string {
	t := newTable("Jobs of", "Owner, us/start", "Relay, us/start", "Owners, cores", "Relays, cores", "Sessions, cores", "Sum, cores", "The same per node", "Entries", "Memory of one", "Network of one")
	for _, n := range jobSizes {
		t.add(withThousands(n)+" task(s)", formatNumber(m.ownerMicros(n)), formatNumber(m.relayMicros(n)), formatNumber(processorCores(m.ownerMicros(n))), formatNumber(processorCores(m.relayMicros(n))),
			formatNumber(m.sessionCores()), formatNumber(m.entryCores(n)), percentOfCore(m.entryCores(n)*microsPerCore/Workers),
			fmt.Sprintf("%.0f", m.entries(n)), megabytes(m.entryMemory(n)), fmt.Sprintf("%.1f MB/s", m.entryBytes(n)/1e6))
	}
	return t.String()
}

// entryTable lists an entry's memory, traffic and processor time.
func (m *model) entryTable() string {
	t := newTable("Entry", "Slope × size", "Figure", "Series", "Carried by")
	row := func(name string, s slopes.SeriesName, size float64, what, unit, by string) {
		f := m.fit(s)
		how := fmt.Sprintf("%s + %s × %s %s", formatNumber(f.Intercept), formatNumber(f.Slope), formatNumber(size), what)
		t.add(name, how, formatNumber(f.At(size))+" "+unit, "`"+string(s)+"`", by)
	}
	row("processor, sessions of a region at rest", slopes.EntryIdleCPU, workersPerRegion, "agents", "us/s", "one heartbeat a second and agent")
	row("received from them", slopes.EntryIdleReceivedBytes, workersPerRegion, "agents", "B/s", "the same")
	row("sent to them", slopes.EntryIdleSentBytes, workersPerRegion, "agents", "B/s", "acknowledgements")
	row("live memory with them", slopes.EntryIdleMemory, workersPerRegion, "agents", "B", "one QUIC connection an agent")
	row("live memory, directory of members", slopes.DirectoryMemory, Workers, "agents", "B", "`membership`")
	row("live memory, agents in the core", slopes.CoreAgentsMemory, Workers, "agents", "B", "`dispatch`, one core a service")
	row("live memory, queued tasks", slopes.CoreQueueMemory, 100_000, "tasks", "B", "`queueing/fair`; bounded by `limits`")
	row("live memory, a million ended jobs of one task", slopes.CoreEndedJobMemory, 1e6, "jobs", "B", "records, kept 20 minutes")
	row("the same, answers evicted", slopes.CoreEndedJobMemoryWithoutAnswers, 1e6, "jobs", "B", "`limits.answer_bytes`")
	row("live memory, log's state", slopes.StateMemory, Services, "services", "B", "fold and snapshots")
	row("core's decisions per start", slopes.CoreAgentsStartCPU, Workers, "agents", "us", "`placement/credit`")
	row("owner, bytes to and from agents per job", slopes.OwnerJobAgentBytes, MaxTasksPerJob, "tasks", "B", "credits")
	row("owner and relay, bytes between them per job", slopes.OwnerJobRelayBytes, MaxTasksPerJob, "tasks", "B", "one submit, one answer")
	row("owner, processor per job", slopes.OwnerJobCPU, MaxTasksPerJob, "tasks", "us", "one loop a service")
	row("relay, processor per job", slopes.RelayJobCPU, MaxTasksPerJob, "tasks", "us", "HTTP handler and relay")
	return t.String()
}

// logTable compares the appends with the log's limit.
func (m *model) logTable() string {
	t := newTable("Log", "Worked out as", "Figure", "Limit", "", "Carried by")
	for _, n := range jobSizes {
		entries := m.entries(n)
		appends := m.logAppends(entries) + float64(ChangesPerDay)/secondsPerDay
		t.add(fmt.Sprintf("appends a second, %.0f entries (jobs of %s)", entries, withThousands(n)),
			fmt.Sprintf("%s /min × %.0f + %s a day", formatNumber(m.slope(slopes.LogIdleAppends)), entries, withThousands(ChangesPerDay)), formatNumber(appends), fmt.Sprint(LogAppendsPerSecond), fits(appends <= LogAppendsPerSecond), "leases: three renewals a lease, none per task")
	}
	entries := m.entries(1)
	t.add("bytes of renewals read by each entry", fmt.Sprintf("%s B/min × %.0f", formatNumber(m.slope(slopes.LogIdleBytes)), entries), formatNumber(m.slope(slopes.LogIdleBytes)*entries/60)+" B/s", "", "", "a poll each 250 ms")
	snapshot := m.fit(slopes.SnapshotServicesBytes).At(Services) + m.slope(slopes.SnapshotAgentsBytes)*Workers*SessionsPerAgent + m.slope(slopes.SnapshotMembersBytes)*entries
	t.add("one snapshot", fmt.Sprintf("%s + %s × %d services + %s × %d agent names + %s × %.0f members", formatNumber(m.fit(slopes.SnapshotServicesBytes).Intercept), formatNumber(m.slope(slopes.SnapshotServicesBytes)), Services, formatNumber(m.slope(slopes.SnapshotAgentsBytes)), Workers*SessionsPerAgent, formatNumber(m.slope(slopes.SnapshotMembersBytes)), entries),
		formatNumber(snapshot)+" B", "", "", "compressed, a quarter of the retention apart")
	t.add("time to encode it", fmt.Sprintf("%s us × %d services", formatNumber(m.slope(slopes.SnapshotServicesCPU)), Services), formatNumber(m.fit(slopes.SnapshotServicesCPU).At(Services)/1e3)+" ms", "", "", "any entry, with jitter")
	t.add("folding one renewal", "any number of members", formatNumber(m.atLargestSize(slopes.RenewFoldCPU))+" us", "", "", "a pure fold at each reader")
	join := m.fit(slopes.JoinFoldCPU).At(entries)
	t.add("folding a join and a leave, 1,000 services", fmt.Sprintf("%s us × %.0f members", formatNumber(m.slope(slopes.JoinFoldCPU)), entries), formatNumber(join/1e3)+" ms", "", "", "rendezvous hash")
	return t.String()
}

// configTable computes the cost of distributing configuration changes.
func (m *model) configTable() string {
	t := newTable("Configuration", "Worked out as", "Figure", "Target", "", "Carried by")
	inForce := m.atLargestSize(slopes.ConfigInForce) / 1e3
	t.add("in force on all entries after", "median of 5 changes, 8 entries", formatNumber(inForce)+" s", fmt.Sprintf("%.0f s", MaxConfigDelay.Seconds()), fits(inForce <= MaxConfigDelay.Seconds()), "read back from the log; each entry polls it")
	record := m.atLargestSize(slopes.ConfigRecordBytes)
	t.add("bytes of changes read by each entry", fmt.Sprintf("%s B × %d a day", formatNumber(record), ChangesPerDay), formatNumber(record*ChangesPerDay/secondsPerDay)+" B/s", "", "", "a record a change")
	t.add("folding one change with 10 teams", "any number of services", formatNumber(m.atLargestSize(slopes.ConfigFoldCPU))+" us", "", "", "expected revision, decided by the fold")
	t.add("folding one change with all teams", fmt.Sprintf("%s us × %d teams", formatNumber(m.slope(slopes.ConfigTeamFoldCPU)), Teams), formatNumber(m.fit(slopes.ConfigTeamFoldCPU).At(Teams))+" us", "", "", "the same")
	t.add("record with all teams", fmt.Sprintf("%s B × %d teams", formatNumber(m.slope(slopes.ConfigTeamRecordBytes)), Teams), formatNumber(m.fit(slopes.ConfigTeamRecordBytes).At(Teams))+" B", "", "", "one record a service")
	t.add("processor of an entry for a day's changes", fmt.Sprintf("%s us × %d", formatNumber(m.atLargestSize(slopes.ConfigFoldCPU)), ChangesPerDay), formatNumber(m.atLargestSize(slopes.ConfigFoldCPU)*ChangesPerDay/secondsPerDay)+" us/s", "", "", "the fold")
	view := m.fit(slopes.ViewBytes).At(SessionsPerAgent)
	t.add("view sent to an agent when owners change", fmt.Sprintf("%s + %s × %d services", formatNumber(m.fit(slopes.ViewBytes).Intercept), formatNumber(m.slope(slopes.ViewBytes)), SessionsPerAgent), formatNumber(view)+" B", "", "", "generation number in heartbeats")
	changes := float64(FailedVMsPerDay + ReplacedVMsPerDay)
	t.add("views, if each lost or replaced VM were an entry", fmt.Sprintf("%s B × %.0f a day", formatNumber(view), changes), formatNumber(view*changes/secondsPerDay)+" B/s", "", "", "the same")
	t.add("deciding whom to send it to, all agents at one entry", fmt.Sprintf("%s us × %d", formatNumber(m.slope(slopes.DirectoryViewCPU)), Workers), formatNumber(m.slope(slopes.DirectoryViewCPU)*Workers/1e3)+" ms", "", "", "`membership.Directory`")
	return t.String()
}

// unownedSeconds returns the longest time for which the shards of a lost entry
// have no owner, with default settings: the lease with the guardian's drift
// margin, the acceptance window and one renewal interval.
func unownedSeconds() float64 {
	var o settings.Ownership
	o.ApplyDefaults()
	return (o.LeaseTTL + o.DriftMargin + o.AcceptWindow + o.LeaseTTL/3).Seconds()
}

// failuresTable computes the cost of losing parts of the system.
func (m *model) failuresTable() string {
	t := newTable("Lost", "How often", "Tasks that end as \"may have run\"", "Other cost", "Carried by")
	running := StartsPerSecondPerWorker * MeanRunTime.Seconds()
	zoneWorkers := float64(Workers) / Zones
	entries := m.entries(MeanTasksPerJob)
	t.add("one worker's VM", fmt.Sprintf("%d a day", FailedVMsPerDay), fmt.Sprintf("%s × %.2f s = %s", formatNumber(StartsPerSecondPerWorker), MeanRunTime.Seconds(), formatNumber(running)),
		"its slots are gone after 3 s", "agent_timeout, credits, MayHaveRun verdicts")
	t.add("one VM, planned", fmt.Sprintf("%d a day", ReplacedVMsPerDay), "0", "a drain; a new session", "withdrawn credits, drain, hand-over by `leave`")
	t.add("one entry", "a part of the above", "0 while all journals arrive",
		fmt.Sprintf("its shards rest at most %s s with default settings; each agent sends %s KB of journal", formatNumber(unownedSeconds()), formatNumber(m.journalBurst()/1e3)), "lease, guardian, takeover by journals")
	t.add("one rack or switch", "every month or two", fmt.Sprintf("%d × %s = %s", RackWorkers, formatNumber(running), formatNumber(RackWorkers*running)), "as many reconnections when it returns",
		"agent_timeout; quarantine leaves the rest alone")
	t.add("one availability zone", "once or twice a year", fmt.Sprintf("%s workers × %s = %s", formatNumber(zoneWorkers), formatNumber(running), formatNumber(zoneWorkers*running)),
		fmt.Sprintf("%s of %.0f entries are taken over", formatNumber(entries/Zones), entries), "entries in each zone, guardians of another zone, spare entries")
	t.add("a region's links", "an hour now and then", "0 inside the region", "jobs for other regions are refused; no change of configuration reaches it", "services with a region; promises instead of renewals, up to orphan_timeout")
	return t.String()
}
