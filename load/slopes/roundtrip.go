package slopes

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// maxRoundTrip is the largest round trip that the histogram records, in
	// nanoseconds; roundTripDigits is its number of significant digits.
	maxRoundTrip    = int64(10 * time.Second)
	roundTripDigits = 3
	// roundTripPairs is the number of pairs of start and result for each batch size,
	// which is rounded down to whole batches.
	roundTripPairs = 40_000
	// roundTripBodyBytes makes a start and a result about 200 bytes each.
	roundTripBodyBytes = 90
)

// roundTripBatches are the batch sizes: the numbers of messages that are ready to
// be sent at the same time.
var roundTripBatches = []int{1, 8, 64}

// connSide is one side of a connection that carries starts in one direction and
// results in the other.
type connSide struct {
	connected chan transport.Conn
	received  chan message.Message
	// batch is the number of starts that this side collects before it answers all of
	// them; 0 passes received messages to the received channel instead. unanswered
	// counts the starts since the last answers.
	batch, unanswered int
}

func newConnSide(batch int) *connSide {
	return &connSide{
		connected: make(chan transport.Conn, 1),
		received:  make(chan message.Message, roundTripBatches[len(roundTripBatches)-1]),
		batch:     batch,
	}
}

// Connected implements transport.Handler.
func (s *connSide) Connected(c transport.Conn) { s.connected <- c }

// Disconnected implements transport.Handler.
func (s *connSide) Disconnected(transport.Conn, error) {}

// Received implements transport.Handler.
func (s *connSide) Received(c transport.Conn, m message.Message) {
	if s.batch == 0 {
		s.received <- m
		return
	}
	if s.unanswered++; s.unanswered < s.batch {
		return
	}
	s.unanswered = 0
	for range s.batch {
		_ = c.Send(roundTripResult()) // a closed connection ends the measurement
	}
}

func roundTripStart() *message.Start {
	return &message.Start{
		Service: "trials", Shard: 3, Epoch: 1 << 20,
		Job:   message.JobKey{Team: "press", Caller: "runner-7", Job: "0123456789abcdef"},
		Index: 812, ID: message.StartID{Owner: 1 << 60, Seq: 1 << 30}, Credit: 1 << 60,
		Endpoint: "press-12", Sequence: 1 << 20, Fingerprint: 1 << 63,
		Task: message.Task{Method: "POST", Path: "/moisture-checks", Body: make([]byte, roundTripBodyBytes)},
	}
}

func roundTripResult() *message.Result {
	return &message.Result{
		Service: "trials", ID: message.StartID{Owner: 1 << 60, Seq: 1 << 30}, Sequence: 1 << 20,
		Result: message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: make([]byte, roundTripBodyBytes), Endpoint: "press-12"},
		Grants: []message.Grant{{Credit: 1 << 60, Endpoint: "press-12"}},
	}
}

// RoundTrips measures starts and their results between two sides in this process,
// over QUIC on loopback, and writes a table: the processor time of both sides for
// each pair of start and result, and the round trip of a batch.
func RoundTrips(ctx context.Context, w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "READY AT A TIME\tPROCESSOR US A PAIR\tBATCH P50 US\tBATCH P99 US")
	for _, batch := range roundTripBatches {
		used, times, err := roundTrips(ctx, batch)
		if err != nil {
			return err
		}
		pairs := roundTripPairs / batch * batch
		fmt.Fprintf(tw, "%d\t%.1f\t%.0f\t%.0f\n", batch, micros(used)/float64(pairs),
			float64(times.ValueAtQuantile(50))/1e3, float64(times.ValueAtQuantile(99))/1e3)
	}
	return tw.Flush()
}

// roundTrips returns the processor time of all pairs and the round trips of
// batches, in nanoseconds.
func roundTrips(ctx context.Context, batch int) (time.Duration, *hdrhistogram.Histogram, error) {
	network, err := transport.NewQUIC(settings.TLS{})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = network.Close() }()
	owner := newConnSide(0)
	listener, err := network.Listen("127.0.0.1:0", message.Hello{Role: message.RoleEntry, Name: "owner"}, owner)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = listener.Close() }()
	hello := message.Hello{Role: message.RoleAgent, Name: "agent"}
	if _, err := network.Dial(ctx, listener.Address(), hello, newConnSide(batch)); err != nil {
		return 0, nil, err
	}
	conn := <-owner.connected
	times := hdrhistogram.New(1, maxRoundTrip, roundTripDigits)
	used := cpuTimeOf(func() {
		for range roundTripPairs / batch {
			began := time.Now()
			if err = exchangeBatch(ctx, conn, owner, batch); err != nil {
				return
			}
			_ = times.RecordValue(time.Since(began).Nanoseconds()) // a round trip above maxRoundTrip is left out
		}
	})
	return used, times, err
}

// exchangeBatch sends one batch of starts and waits for their results.
func exchangeBatch(ctx context.Context, conn transport.Conn, owner *connSide, batch int) error {
	for range batch {
		if err := conn.Send(roundTripStart()); err != nil {
			return err
		}
	}
	for range batch {
		select {
		case <-owner.received:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
