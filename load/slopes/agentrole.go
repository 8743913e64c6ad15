package slopes

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
)

// agent measures one agent whose owner and endpoint run in the peer.
func (h *harness) agent() error {
	stop, err := h.startMeasuredAgent()
	if err != nil {
		return err
	}
	defer stop()
	cpu := Series{Name: AgentCPU, Driver: "starts/s", Unit: "us/s", Note: "200 B bodies, with the HTTP exchange at the endpoint"}
	received := Series{Name: AgentReceivedBytes, Driver: "starts/s", Unit: "B/s", Note: "200 B bodies"}
	sent := Series{Name: AgentSentBytes, Driver: "starts/s", Unit: "B/s", Note: "200 B bodies"}
	journal := Series{Name: AgentJournalMemory, Driver: "starts remembered", Unit: "B", Note: "200 B answers"}
	total := 0.0
	for _, rate := range []float64{0, 20, 43, 100, 200} {
		run := idle
		if rate > 0 {
			run = h.peerLoad(JobLoad{Service: serviceName, Tasks: 1, Body: typicalBody, Rate: rate, Duration: loadTime})
		}
		all, err := h.samples(run)
		if err != nil {
			return err
		}
		achieved := point(rate, all, perSecond(func(s sample) float64 { return float64(s.jobs.Jobs) })).Median
		cpu.Points = append(cpu.Points, point(achieved, all, perSecond(cpuOf)))
		received.Points = append(received.Points, point(achieved, all, perSecond(func(s sample) float64 { return float64(s.agents.FromTarget) })))
		sent.Points = append(sent.Points, point(achieved, all, perSecond(func(s sample) float64 { return float64(s.agents.ToTarget) })))
		for _, s := range all {
			total += float64(s.jobs.Jobs)
		}
		journal.Points = append(journal.Points, summarize(total, []float64{liveMemory()}))
	}
	h.add(cpu, received, sent, journal)
	return nil
}

// agentPayload measures an agent's bytes per start as a function of the size of
// the bodies; the fitted line's value at 0 is the control traffic.
func (h *harness) agentPayload() error {
	stop, err := h.startMeasuredAgent()
	if err != nil {
		return err
	}
	defer stop()
	const rate = 43
	idleSample, err := h.sample(idle)
	if err != nil {
		return err
	}
	idleBytes := float64(idleSample.agents.bytes()) / idleSample.seconds
	idlePackets := float64(idleSample.agents.packets()) / idleSample.seconds
	bytes := Series{Name: AgentPayloadBytes, Driver: "bytes of request and of answer", Unit: "B/start", Note: "43 starts/s, without the traffic at rest"}
	packets := Series{Name: AgentPackets, Driver: bytes.Driver, Unit: "packets/start", Note: bytes.Note}
	for _, size := range []int{0, 100, 200, 400, 800} {
		all, err := h.samples(h.peerLoad(JobLoad{Service: serviceName, Tasks: 1, Body: size, Rate: rate, Duration: loadTime}))
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, point(float64(size), all, perJob(func(s sample) float64 {
			return float64(s.agents.bytes()) - idleBytes*s.seconds
		})))
		packets.Points = append(packets.Points, point(float64(size), all, perJob(func(s sample) float64 {
			return float64(s.agents.packets()) - idlePackets*s.seconds
		})))
	}
	h.add(bytes, packets)
	return nil
}

// startMeasuredAgent runs an agent in this process, and an entry, its log and the
// agent's endpoint in the peer. The first result stops the agent.
func (h *harness) startMeasuredAgent() (func(), error) {
	var counters Counters
	if err := h.call("Open", Empty{}, &counters); err != nil {
		return nil, err
	}
	if err := h.call("Alone", serviceName, &Empty{}); err != nil {
		return nil, err
	}
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	a := startAgent(ctx, &wg, "worker-0000", network, counters.AgentSide)
	stop := func() {
		cancel()
		wg.Wait()
		_ = network.Close()
	}
	e := AgentEndpoint{AgentHTTP: a.HTTPAddress(), Services: []string{serviceName}, Slots: fleetSlots}
	if err := h.call("Endpoint", e, &Empty{}); err != nil {
		return nil, err
	}
	err = h.call("AwaitCredits", fleetSlots, &Empty{})
	time.Sleep(warmUpTime)
	return stop, err
}

// exchange measures the processor time that the HTTP exchange with the endpoint
// alone takes in the process that sends the request.
func (h *harness) exchange() error {
	if err := h.call("Open", Empty{}, new(Counters)); err != nil {
		return err
	}
	var address string
	if err := h.call("Serve", Empty{}, &address); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: fleetSlots, DisableCompression: true}}
	defer client.CloseIdleConnections()
	cpu := Series{Name: ExchangeCPU, Driver: "exchanges/s", Unit: "us/s", Note: "200 B each way, net/http over loopback"}
	for _, rate := range []float64{20, 43, 100, 200} {
		all, err := h.samples(func() (JobsDone, error) {
			run := &loadGenerator{load: JobLoad{Rate: rate, Duration: loadTime}}
			run.submit = func(ctx context.Context, _ string) error { return post(ctx, client, "http://"+address+"/labels") }
			return run.run(), nil
		})
		if err != nil {
			return err
		}
		achieved := point(rate, all, perSecond(func(s sample) float64 { return float64(s.jobs.Jobs) })).Median
		cpu.Points = append(cpu.Points, point(achieved, all, perSecond(cpuOf)))
	}
	h.add(cpu)
	return nil
}

func post(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body(typicalBody)))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	return resp.Body.Close()
}
