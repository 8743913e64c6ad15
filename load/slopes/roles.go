package slopes

import (
	"fmt"
	"io"
	"net/rpc"
	"os"
	"path/filepath"
	"runtime/pprof"
	"time"

	"marjoramlug.example/marjoramlug/entry"
	httplog "marjoramlug.example/marjoramlug/plugin/log/http"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
)

// Durations and sizes of the measurements against the peer. samplesPerPoint is the
// number of samples of each point, except in series of memory and of idle entries'
// use of the log, which are sampled once, and in ConfigInForce, which has
// timedChanges samples.
const (
	samplesPerPoint = 3
	idleTime        = 4 * time.Second
	loadTime        = 3 * time.Second
	warmUpTime      = 3 * time.Second
	// typicalBody is the size of the body of a typical task and of that of its
	// answer, in bytes.
	typicalBody = 200
	// fleetAgents is the number of agents of an owner under load; fleetSlots is the
	// number of slots of each agent's endpoint.
	fleetAgents = 50
	fleetSlots  = 64
	serviceName = "service-00"
)

// harness takes the measurements in the measuring process. client is the RPC
// connection to the peer; it is nil in MeasureWithoutPeer. print receives
// the results as text.
type harness struct {
	client *rpc.Client
	report *Report
	print  io.Writer
}

// Options configure Measure.
type Options struct {
	// Peer is the peer's TCP address.
	Peer string
	// Only is the name of the one measurement to take; empty takes all.
	Only string
	// Profiles is the directory for one CPU profile per measurement; empty writes
	// none.
	Profiles string
	// Progress receives the results as text.
	Progress io.Writer
}

// measurement is one measurement of a role against the peer.
type measurement struct {
	name string
	run  func() error
}

func (h *harness) measurements() []measurement {
	return []measurement{
		{"log", h.idleLog},
		{"rest", h.idleEntry},
		{"owner", h.owner},
		{"relay", h.relay},
		{"agent", h.agent},
		{"payload", h.agentPayload},
		{"exchange", h.exchange},
	}
}

// Measure takes each measurement in this process against the peer and adds the
// measured series to the report.
func Measure(o Options, report *Report) error {
	client, err := rpc.Dial("tcp", o.Peer)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	h := &harness{client: client, report: report, print: o.Progress}
	for _, measurement := range h.measurements() {
		if o.Only != "" && o.Only != measurement.name {
			continue
		}
		fmt.Fprintf(o.Progress, "%s\n", measurement.name)
		if err := h.measureWithProfile(o.Profiles, measurement); err != nil {
			return fmt.Errorf("%s: %w", measurement.name, err)
		}
		if err := h.call("Reset", Empty{}, &Empty{}); err != nil {
			return err
		}
	}
	return nil
}

// measureWithProfile takes a measurement. It writes a CPU profile if a directory
// is given.
func (h *harness) measureWithProfile(dir string, measurement measurement) error {
	if dir == "" {
		return measurement.run()
	}
	file, err := os.Create(filepath.Join(dir, measurement.name+".pprof"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return measurement.run()
}

func (h *harness) call(method string, args, reply any) error {
	return h.client.Call("Peer."+method, args, reply)
}

func (h *harness) traffic() CounterTraffic {
	var t CounterTraffic
	_ = h.call("Traffic", Empty{}, &t)
	return t
}

// sample is what one measurement used: wall time, processor time of this process,
// traffic of agents and relays, and the jobs done.
type sample struct {
	seconds, cpuMicros float64
	agents, relays     Traffic
	jobs               JobsDone
}

// sample measures this process while f runs. It fails if any job of f fails.
func (h *harness) sample(f func() (JobsDone, error)) (sample, error) {
	traffic, cpu, began := h.traffic(), cpuTime(), time.Now()
	done, err := f()
	s := sample{seconds: time.Since(began).Seconds(), cpuMicros: micros(cpuTime() - cpu), jobs: done}
	after := h.traffic()
	s.agents = after.AgentSide.sub(traffic.AgentSide)
	s.relays = after.RelaySide.sub(traffic.RelaySide)
	if err == nil && done.Failed > 0 {
		err = fmt.Errorf("%d of %d jobs failed; one of them: %s", done.Failed, done.Jobs+done.Failed, done.Cause)
	}
	return s, err
}

func (h *harness) samples(f func() (JobsDone, error)) ([]sample, error) {
	var all []sample
	for range samplesPerPoint {
		s, err := h.sample(f)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func idle() (JobsDone, error) {
	time.Sleep(idleTime)
	return JobsDone{}, nil
}

func (h *harness) peerLoad(l JobLoad) func() (JobsDone, error) {
	return func() (JobsDone, error) {
		var done JobsDone
		err := h.call("Run", l, &done)
		return done, err
	}
}

// point returns the point of a size from one value per sample.
func point(size float64, samples []sample, value func(sample) float64) Point {
	var values []float64
	for _, s := range samples {
		values = append(values, value(s))
	}
	return summarize(size, values)
}

func perSecond(value func(sample) float64) func(sample) float64 {
	return func(s sample) float64 { return value(s) / s.seconds }
}

func perJob(value func(sample) float64) func(sample) float64 {
	return func(s sample) float64 { return value(s) / float64(s.jobs.Jobs) }
}

func cpuOf(s sample) float64 { return s.cpuMicros }

// startMeasuredEntry starts an entry in this process that keeps its log in memory.
// Agents and relays reach it through the peer's counters. The second result stops
// the entry.
func (h *harness) startMeasuredEntry() (*entry.Entry, func(), error) {
	var counters Counters
	if err := h.call("Open", Empty{}, &counters); err != nil {
		return nil, nil, err
	}
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return nil, nil, err
	}
	listen, err := freeUDP()
	if err != nil {
		return nil, nil, err
	}
	e, err := startEntry("measured", network, memory.New(memory.Options{}), listen, counters.AgentSide)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		e.Kill()
		_ = network.Close()
	}
	return e, stop, h.awaitOwnership(e, listen)
}

// awaitOwnership configures the service, makes the entry the target of the peer's
// counters and waits until it owns shards of the service.
func (h *harness) awaitOwnership(e *entry.Entry, listen string) error {
	if err := waitFor("the measured entry to be ready", e.Ready); err != nil {
		return err
	}
	if err := configure(e, serviceName); err != nil {
		return err
	}
	if err := h.call("Target", listen, &Empty{}); err != nil {
		return err
	}
	return waitFor("ownership", func() bool { return ownsShards(e, serviceName) })
}

// growFleet makes the peer run the given number of agents and waits until the entry
// holds credits for all their slots.
func (h *harness) growFleet(e *entry.Entry, agents, slots int) error {
	if err := h.call("Grow", FleetSize{Agents: agents, Slots: slots, Service: serviceName}, &Empty{}); err != nil {
		return err
	}
	if err := waitFor("credits", func() bool { return freeCredits(e, serviceName) >= agents*slots }); err != nil {
		return err
	}
	time.Sleep(warmUpTime)
	return nil
}

// idleEntry measures an entry whose agents have sessions but no tasks.
func (h *harness) idleEntry() error {
	e, stop, err := h.startMeasuredEntry()
	if err != nil {
		return err
	}
	defer stop()
	cpu := Series{Name: EntryIdleCPU, Driver: "agent sessions", Unit: "us/s"}
	received := Series{Name: EntryIdleReceivedBytes, Driver: "agent sessions", Unit: "B/s"}
	sent := Series{Name: EntryIdleSentBytes, Driver: "agent sessions", Unit: "B/s"}
	memory := Series{Name: EntryIdleMemory, Driver: "agent sessions", Unit: "B"}
	for _, agents := range []int{25, 100, 200, 400} {
		if err := h.growFleet(e, agents, 8); err != nil {
			return err
		}
		all, err := h.samples(idle)
		if err != nil {
			return err
		}
		size := float64(agents)
		cpu.Points = append(cpu.Points, point(size, all, perSecond(cpuOf)))
		received.Points = append(received.Points, point(size, all, perSecond(func(s sample) float64 { return float64(s.agents.ToTarget) })))
		sent.Points = append(sent.Points, point(size, all, perSecond(func(s sample) float64 { return float64(s.agents.FromTarget) })))
		memory.Points = append(memory.Points, summarize(size, []float64{liveMemory()}))
	}
	h.add(cpu, received, sent, memory)
	return nil
}

func (h *harness) add(all ...Series) {
	for _, s := range all {
		h.report.add(s)
		added, _ := h.report.Get(s.Name)
		fmt.Fprintf(h.print, "  %-26s %12.3f %s per %s, intercept %.1f, residual %.1f\n",
			s.Name, added.Fit.Slope, s.Unit, s.Driver, added.Fit.Intercept, added.Fit.Residual)
	}
}

// owner measures an entry that owns the service while the peer runs agents and
// one relay: jobs of one task at several rates, then jobs of many tasks.
func (h *harness) owner() error {
	e, stop, err := h.startMeasuredEntry()
	if err != nil {
		return err
	}
	defer stop()
	if err := h.growFleet(e, fleetAgents, fleetSlots); err != nil {
		return err
	}
	// This load is not recorded: the relay connects and pools grow during it.
	if _, err := h.sample(h.peerLoad(JobLoad{Service: serviceName, Tasks: 1, Body: typicalBody, Workers: 4, Duration: time.Second})); err != nil {
		return err
	}
	if err := h.ownerPaced(); err != nil {
		return err
	}
	return h.ownerJobs()
}

func (h *harness) ownerPaced() error {
	cpu := Series{Name: OwnerPacedCPU, Driver: "starts/s", Unit: "us/s", Note: "jobs of one task, 200 B bodies"}
	agents := Series{Name: OwnerPacedAgentBytes, Driver: "starts/s", Unit: "B/s", Note: cpu.Note}
	relays := Series{Name: OwnerPacedRelayBytes, Driver: "starts/s", Unit: "B/s", Note: cpu.Note}
	for _, rate := range []float64{200, 500, 1000, 2000} {
		all, err := h.samples(h.peerLoad(JobLoad{Service: serviceName, Tasks: 1, Body: typicalBody, Rate: rate, Duration: loadTime}))
		if err != nil {
			return err
		}
		// The size of a point is the achieved rate, which may differ from the
		// requested one.
		achieved := point(rate, all, perSecond(func(s sample) float64 { return float64(s.jobs.Jobs) })).Median
		cpu.Points = append(cpu.Points, point(achieved, all, perSecond(cpuOf)))
		agents.Points = append(agents.Points, point(achieved, all, perSecond(func(s sample) float64 { return float64(s.agents.bytes()) })))
		relays.Points = append(relays.Points, point(achieved, all, perSecond(func(s sample) float64 { return float64(s.relays.bytes()) })))
	}
	h.add(cpu, agents, relays)
	return nil
}

var jobSizes = []int{1, 10, 100, 500, 1900}

func (h *harness) ownerJobs() error {
	cpu := Series{Name: OwnerJobCPU, Driver: "tasks of a job", Unit: "us/job", Note: "closed loop, 200 B bodies"}
	agents := Series{Name: OwnerJobAgentBytes, Driver: "tasks of a job", Unit: "B/job", Note: cpu.Note}
	relays := Series{Name: OwnerJobRelayBytes, Driver: "tasks of a job", Unit: "B/job", Note: cpu.Note}
	for _, tasks := range jobSizes {
		l := JobLoad{Service: serviceName, Tasks: tasks, Body: typicalBody, Workers: 2, Duration: loadTime}
		all, err := h.samples(h.peerLoad(l))
		if err != nil {
			return err
		}
		size := float64(tasks)
		cpu.Points = append(cpu.Points, point(size, all, perJob(cpuOf)))
		agents.Points = append(agents.Points, point(size, all, perJob(func(s sample) float64 { return float64(s.agents.bytes()) })))
		relays.Points = append(relays.Points, point(size, all, perJob(func(s sample) float64 { return float64(s.relays.bytes()) })))
	}
	h.add(cpu, agents, relays)
	return nil
}

// relay measures an entry that relays callers' jobs to the peer's entry, which
// owns the service.
func (h *harness) relay() error {
	var counters Counters
	if err := h.call("Open", Empty{}, &counters); err != nil {
		return err
	}
	var addresses SystemAddresses
	if err := h.call("World", Empty{}, &addresses); err != nil {
		return err
	}
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return err
	}
	defer func() { _ = network.Close() }()
	client, err := httplog.New(addresses.HTTP, time.Second)
	if err != nil {
		return err
	}
	e, err := startEntry("measured", network, client, "127.0.0.1:0", "")
	if err != nil {
		return err
	}
	defer e.Kill()
	if err := waitFor("the measured entry to be ready", e.Ready); err != nil {
		return err
	}
	var service string
	if err := h.call("OwnService", Empty{}, &service); err != nil {
		return err
	}
	// The agents learn the owner's address from the entry's view.
	if err := h.call("Grow", FleetSize{Agents: fleetAgents, Slots: fleetSlots, Service: service}, &Empty{}); err != nil {
		return err
	}
	time.Sleep(warmUpTime)
	return h.relayJobs(service, "http://"+e.HTTPAddress())
}

func (h *harness) relayJobs(service, url string) error {
	cpu := Series{Name: RelayJobCPU, Driver: "tasks of a job", Unit: "us/job", Note: "closed loop over HTTP, 200 B bodies"}
	for _, tasks := range jobSizes {
		l := JobLoad{Service: service, HTTP: url, Tasks: tasks, Body: typicalBody, Workers: 2, Duration: loadTime}
		all, err := h.samples(h.peerLoad(l))
		if err != nil {
			return err
		}
		cpu.Points = append(cpu.Points, point(float64(tasks), all, perJob(cpuOf)))
	}
	h.add(cpu)
	return nil
}
