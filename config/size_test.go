package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
)

// deployment gives the size of a deployment for which message sizes are measured.
type deployment struct {
	name string
	// services and owners are those of one agent's endpoints.
	services, owners int
	// entries is the number of entries that a view lists, at most eight.
	entries int
}

var deployments = []deployment{
	{"today", 1, 1, 3},
	{"target", 4, 4, 8},
}

// changesPerDay is the number of changes per day at the target size that may
// change a view: 2,700 changes of the configuration and 280 machines lost or
// replaced.
const changesPerDay = 2700 + 280

const secondsPerDay = 24 * 60 * 60

// typicalGeneration is the log offset after about a year at ten records per second.
const typicalGeneration = 300_000_000

func view(d deployment) *message.View {
	v := &message.View{Generation: typicalGeneration}
	for i := range d.services {
		s := message.ServiceView{Service: fmt.Sprintf("service-%04d", i), Configured: true}
		for j := range d.owners {
			s.Owners = append(s.Owners, message.OwnerInfo{
				Name: fmt.Sprintf("entry-%02d", j), Address: fmt.Sprintf("10.20.30.%d:7001", 100+j),
			})
		}
		v.Services = append(v.Services, s)
	}
	for j := range d.entries {
		v.Entries = append(v.Entries, fmt.Sprintf("10.20.30.%d:7001", 100+j))
	}
	return v
}

func size(b *testing.B, m message.Message) float64 {
	b.Helper()
	data, err := message.Append(nil, m)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// BenchmarkViewBytes reports the bytes per second that an agent's configuration
// adds to the heartbeat that it sends each second.
func BenchmarkViewBytes(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			var plain, withGeneration, viewBytes float64
			for b.Loop() {
				plain = size(b, &message.Heartbeat{Sequence: typicalGeneration})
				withGeneration = size(b, &message.Heartbeat{Sequence: typicalGeneration, Generation: typicalGeneration, RequestView: true})
				viewBytes = size(b, view(d))
			}
			b.ReportMetric(viewBytes, "B/view")
			b.ReportMetric(withGeneration-plain, "B/generation")
			b.ReportMetric(viewBytes, "resend-1s-B/s")
			b.ReportMetric(viewBytes/10, "resend-10s-B/s")
			b.ReportMetric(withGeneration-plain+viewBytes*changesPerDay/secondsPerDay, "generations-B/s")
		})
	}
}

// BenchmarkEncodeState reports the size of a state for several numbers of services,
// each with a full history, six rules and ten teams.
func BenchmarkEncodeState(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			state := bigState(b, services)
			var data []byte
			var err error
			for b.Loop() {
				if data, err = state.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/state")
		})
	}
}

// BenchmarkEncodeSnapshot reports the size of the snapshot record of a state.
func BenchmarkEncodeSnapshot(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			state, err := bigState(b, services).Encode()
			if err != nil {
				b.Fatal(err)
			}
			var data []byte
			for b.Loop() {
				if data, err = (config.Snapshot{Covered: 1, Config: state}).Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/snapshot")
		})
	}
}

// BenchmarkApply applies changes to a state of 1000 services.
func BenchmarkApply(b *testing.B) {
	state := bigState(b, 1000)
	body := bigBody(b, "service-0")
	for i := 0; b.Loop(); i++ {
		state.Apply(state.Applied()+1, config.Record{
			ID: fmt.Sprint("b", i), Service: "service-0", Schema: config.SchemaV2,
			Expect: state.Revision("service-0"), Body: body,
		})
	}
}

// changesPerService is the number of changes that fill a service's history.
const changesPerService = 16

func bigState(b *testing.B, services int) *config.State {
	b.Helper()
	state := config.NewState()
	rng := rand.New(rand.NewPCG(1, 2))
	for range changesPerService {
		for i := range services {
			name := fmt.Sprint("service-", i)
			state.Apply(state.Applied()+1, config.Record{
				ID:      fmt.Sprintf("%026x-%016x", rng.Uint64(), rng.Uint64()),
				Service: name, Schema: config.SchemaV2, Expect: state.Revision(name),
				Body: bigBody(b, name), Author: "operations/ana", At: 1_800_000_000_000,
			})
		}
	}
	return state
}

func bigBody(b *testing.B, name string) []byte {
	b.Helper()
	s := config.Service{Name: name, Region: "north", Owners: 4}
	for i := range 6 {
		s.Rules = append(s.Rules, config.Rule{Name: fmt.Sprint("class-", i), Method: "POST", PathPrefix: fmt.Sprint("/path/", i), Urgent: true})
	}
	for i := range 10 {
		s.Teams = append(s.Teams, config.Team{Name: fmt.Sprint("team-", i), Weight: 2, Concurrency: 64, Rate: 100, Burst: 1900})
	}
	body, err := config.EncodeBody(config.SchemaV2, s)
	if err != nil {
		b.Fatal(err)
	}
	return body
}
