package message

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/verdict"
)

func TestStartRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		in := &Start{
			Service:  rapid.String().Draw(t, "service"),
			Job:      JobKey{Team: rapid.String().Draw(t, "team"), Job: rapid.String().Draw(t, "job")},
			ID:       StartID{Owner: rapid.Uint64().Draw(t, "owner"), Seq: rapid.Uint64().Draw(t, "seq")},
			Sequence: Sequence(rapid.Uint64().Draw(t, "sequence")),
			Task:     Task{Method: "POST", Body: rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "body")},
		}
		data, err := Append(nil, in)
		is.NoErr(err)
		out, err := Decode(data)
		is.NoErr(err)
		is.Equal(out, Message(in))
	})
}

func TestEveryKindRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, kind := range Kinds() {
		data, err := Append(nil, constructors[kind]())
		is.NoErr(err)
		m, err := Decode(data)
		is.NoErr(err)
		is.Equal(m.Kind(), kind)
	}
}

func TestDecodeRejectsMalformedInput(t *testing.T) {
	for _, data := range [][]byte{nil, {0}, {byte(kindEnd)}, {byte(KindStart)}, {byte(KindStart), 0xff}} {
		if _, err := Decode(data); err == nil {
			t.Errorf("Decode(%x) returned no error", data)
		}
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	body, err := encMode.Marshal(map[int]any{1: "trials", 99: "from a newer version"})
	is.NoErr(err)
	m, err := Decode(append([]byte{byte(KindCancel)}, body...))
	is.NoErr(err)
	is.Equal(m.(*Cancel).Service, "trials")
}

func TestFingerprintDependsOnFieldBoundaries(t *testing.T) {
	is := is.New(t)
	a := []Task{{Method: "POST", Path: "/a", Body: []byte("bc")}}
	b := []Task{{Method: "POST", Path: "/ab", Body: []byte("c")}}
	is.True(Fingerprint(a) != Fingerprint(b))
	is.Equal(Fingerprint(a), Fingerprint([]Task{{Method: "POST", Path: "/a", Body: []byte("bc")}}))
}

func TestTaskResultComplete(t *testing.T) {
	is := is.New(t)
	is.True(TaskResult{Verdict: verdict.Ran, Status: 200}.Complete())
	is.True(!TaskResult{Verdict: verdict.Ran, Reason: verdict.ReasonAnswerEvicted}.Complete())
	is.True(!TaskResult{Verdict: verdict.MayHaveRun}.Complete())
}
