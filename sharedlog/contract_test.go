package sharedlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/kernel"
	_ "marjoramlug.example/marjoramlug/plugin/log/http" // log.http
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/standin/logserver"
)

// fixture is an empty log under test with functions to inject faults.
type fixture struct {
	Log sharedlog.Log
	// SetFaults replaces the active faults.
	SetFaults func(memory.Faults)
	// Trim drops all records before first.
	Trim func(first sharedlog.Offset)
}

// TestContract checks the contract of sharedlog.Log on every implementation.
func TestContract(t *testing.T) {
	t.Run("memory", func(t *testing.T) { checkContract(t, openMemory) })
	t.Run("http", func(t *testing.T) { checkContract(t, openHTTP) })
}

func openMemory(*testing.T) fixture {
	log := memory.New(memory.Options{})
	return fixture{Log: log, SetFaults: log.SetFaults, Trim: log.Trim}
}

func openHTTP(t *testing.T) fixture {
	server := httptest.NewServer(logserver.Handler(memory.New(memory.Options{})))
	t.Cleanup(server.Close)
	opener, err := kernel.Load[sharedlog.Opener]("log.http")
	if err != nil {
		t.Fatal(err)
	}
	log, err := opener.Open(settings.Platform{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	return fixture{
		Log:       log,
		SetFaults: func(f memory.Faults) { send(t, http.MethodPut, server.URL+logserver.FaultsPath, f) },
		Trim: func(first sharedlog.Offset) {
			send(t, http.MethodPost, server.URL+logserver.TrimPath, logserver.Trim{First: first})
		},
	}
}

func send(t *testing.T, method, url string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
}

// checkContract runs each case on its own log, which open returns.
func checkContract(t *testing.T, open func(*testing.T) fixture) {
	cases := []struct {
		name  string
		check func(*testing.T, fixture)
	}{
		{"offsets begin at one and are consecutive", checkOffsets},
		{"reads page through the log", checkPages},
		{"reading an empty log gives no error", checkEmpty},
		{"records are copies", checkCopies},
		{"concurrent appends get distinct offsets", checkConcurrent},
		{"reading trimmed records fails", checkTrimmed},
		{"trimming all records keeps the next offset", checkTrimAll},
		{"an unavailable log writes nothing", checkUnavailable},
		{"an append whose answer was lost is written", checkLostAnswer},
		{"a lost append is not written", checkLostAppend},
		{"an append with a cancelled context writes nothing", checkCancelledContext},
		{"cancelling a slow append reports whether it may be written", checkSlowAppend},
		{"cancelling a slow read fails it", checkSlowRead},
		{"the maximum record size is enforced", checkSize},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t, open(t)) })
	}
}

func appendAll(t *testing.T, log sharedlog.Log, data ...string) {
	t.Helper()
	for _, d := range data {
		if _, err := log.Append(t.Context(), []byte(d)); err != nil {
			t.Fatal(err)
		}
	}
}

func readAll(t *testing.T, log sharedlog.Log, from sharedlog.Offset) []string {
	t.Helper()
	const limit = 1000
	records, err := log.Read(t.Context(), from, limit)
	if err != nil {
		t.Fatal(err)
	}
	var data []string
	for i, r := range records {
		if want := from + sharedlog.Offset(i); r.Offset != want {
			t.Fatalf("record %d has offset %d, want %d", i, r.Offset, want)
		}
		data = append(data, string(r.Data))
	}
	return data
}

func bounds(t *testing.T, log sharedlog.Log) sharedlog.Bounds {
	t.Helper()
	b, err := log.Bounds(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func checkOffsets(t *testing.T, f fixture) {
	is := is.New(t)
	for want := sharedlog.Offset(1); want <= 3; want++ {
		got, err := f.Log.Append(t.Context(), []byte{byte(want)})
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(bounds(t, f.Log), sharedlog.Bounds{First: 1, Next: 4})
	is.Equal(readAll(t, f.Log, 1), []string{"\x01", "\x02", "\x03"})
}

func checkPages(t *testing.T, f fixture) {
	is := is.New(t)
	appendAll(t, f.Log, "a", "b", "c")
	page, err := f.Log.Read(t.Context(), 2, 1)
	is.NoErr(err)
	is.Equal(page, []sharedlog.Record{{Offset: 2, Data: []byte("b")}})
	is.Equal(readAll(t, f.Log, 3), []string{"c"})
	is.Equal(len(readAll(t, f.Log, 4)), 0)
	is.Equal(len(readAll(t, f.Log, 99)), 0)
}

func checkEmpty(t *testing.T, f fixture) {
	is := is.New(t)
	is.Equal(bounds(t, f.Log), sharedlog.Bounds{First: 1, Next: 1})
	is.Equal(len(readAll(t, f.Log, 1)), 0)
}

func checkCopies(t *testing.T, f fixture) {
	is := is.New(t)
	data := []byte("before")
	_, err := f.Log.Append(t.Context(), data)
	is.NoErr(err)
	copy(data, "AFTER!")
	records, err := f.Log.Read(t.Context(), 1, 1)
	is.NoErr(err)
	copy(records[0].Data, "AFTER!")
	is.Equal(readAll(t, f.Log, 1), []string{"before"})
}

func checkConcurrent(t *testing.T, f fixture) {
	const writers, each = 8, 20
	offsets := make(chan sharedlog.Offset, writers*each)
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range each {
				offset, err := f.Log.Append(t.Context(), fmt.Appendf(nil, "%d.%d", w, i))
				if err != nil {
					t.Error(err)
				}
				offsets <- offset
			}
		})
	}
	group.Wait()
	close(offsets)
	seen := map[sharedlog.Offset]bool{}
	for offset := range offsets {
		seen[offset] = true
	}
	is := is.New(t)
	is.Equal(len(seen), writers*each)
	is.Equal(len(readAll(t, f.Log, 1)), writers*each)
}

func checkTrimmed(t *testing.T, f fixture) {
	is := is.New(t)
	appendAll(t, f.Log, "a", "b", "c")
	f.Trim(3)
	is.Equal(bounds(t, f.Log), sharedlog.Bounds{First: 3, Next: 4})
	for _, from := range []sharedlog.Offset{0, 1, 2} {
		_, err := f.Log.Read(t.Context(), from, 10)
		is.True(errors.Is(err, sharedlog.ErrTrimmed)) // read before the first record held
	}
	is.Equal(readAll(t, f.Log, 3), []string{"c"})
	f.Trim(2)
	is.Equal(bounds(t, f.Log).First, sharedlog.Offset(3)) // the first offset never decreases
}

func checkTrimAll(t *testing.T, f fixture) {
	is := is.New(t)
	appendAll(t, f.Log, "a", "b")
	f.Trim(99)
	is.Equal(bounds(t, f.Log), sharedlog.Bounds{First: 3, Next: 3})
	offset, err := f.Log.Append(t.Context(), []byte("c"))
	is.NoErr(err)
	is.Equal(offset, sharedlog.Offset(3))
}

func checkUnavailable(t *testing.T, f fixture) {
	is := is.New(t)
	f.SetFaults(memory.Faults{Down: true})
	_, err := f.Log.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, sharedlog.ErrUnavailable)) // append
	is.True(!errors.Is(err, sharedlog.ErrUnknown))    // the outcome is known
	_, err = f.Log.Read(t.Context(), 1, 1)
	is.True(errors.Is(err, sharedlog.ErrUnavailable)) // read
	_, err = f.Log.Bounds(t.Context())
	is.True(errors.Is(err, sharedlog.ErrUnavailable)) // bounds
	f.SetFaults(memory.Faults{})
	is.Equal(bounds(t, f.Log).Next, sharedlog.Offset(1)) // nothing was written
}

func checkLostAnswer(t *testing.T, f fixture) {
	is := is.New(t)
	f.SetFaults(memory.Faults{LostAnswers: 1})
	_, err := f.Log.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, sharedlog.ErrUnknown))
	is.Equal(readAll(t, f.Log, 1), []string{"a"}) // written exactly once
	appendAll(t, f.Log, "b")
	is.Equal(readAll(t, f.Log, 1), []string{"a", "b"})
}

func checkLostAppend(t *testing.T, f fixture) {
	is := is.New(t)
	f.SetFaults(memory.Faults{LostAppends: 1})
	_, err := f.Log.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, sharedlog.ErrUnknown))
	appendAll(t, f.Log, "b")
	is.Equal(readAll(t, f.Log, 1), []string{"b"})
}

func checkCancelledContext(t *testing.T, f fixture) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.Log.Append(ctx, []byte("a"))
	is.True(errors.Is(err, sharedlog.ErrUnavailable))
	_, err = f.Log.Read(ctx, 1, 1)
	is.True(errors.Is(err, sharedlog.ErrUnavailable))
	is.Equal(bounds(t, f.Log).Next, sharedlog.Offset(1))
}

// callDelay is longer than any test runs: the calls end only because their
// context is cancelled.
const callDelay = time.Hour

func checkSlowAppend(t *testing.T, f fixture) {
	is := is.New(t)
	f.SetFaults(memory.Faults{Delay: callDelay})
	err := callAndCancel(t, func(ctx context.Context) error {
		_, err := f.Log.Append(ctx, []byte("a"))
		return err
	})
	is.True(errors.Is(err, sharedlog.ErrUnknown) || errors.Is(err, sharedlog.ErrUnavailable))
	f.SetFaults(memory.Faults{})
	if errors.Is(err, sharedlog.ErrUnavailable) {
		is.Equal(bounds(t, f.Log).Next, sharedlog.Offset(1)) // ErrUnavailable means that nothing was written
	}
}

func checkSlowRead(t *testing.T, f fixture) {
	is := is.New(t)
	f.SetFaults(memory.Faults{Delay: callDelay})
	err := callAndCancel(t, func(ctx context.Context) error {
		_, err := f.Log.Read(ctx, 1, 1)
		return err
	})
	is.True(errors.Is(err, sharedlog.ErrUnavailable))
}

// callAndCancel cancels the context of a call that may have begun.
func callAndCancel(t *testing.T, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- call(ctx) }()
	cancel()
	return <-result
}

func checkSize(t *testing.T, f fixture) {
	is := is.New(t)
	_, err := f.Log.Append(t.Context(), make([]byte, memory.MaxRecordBytes))
	is.NoErr(err)
	_, err = f.Log.Append(t.Context(), make([]byte, memory.MaxRecordBytes+1))
	is.True(errors.Is(err, sharedlog.ErrTooLarge))
	is.Equal(bounds(t, f.Log).Next, sharedlog.Offset(2))
}
