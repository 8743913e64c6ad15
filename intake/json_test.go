package intake

import (
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

type sample struct {
	Text   string       `json:"text"`
	Count  *int64       `json:"count"`
	Names  []string     `json:"names"`
	Nested []sampleItem `json:"nested"`
}

type sampleItem struct {
	N  int     `json:"n"`
	Ms float64 `json:"ms"`
}

func decode(src io.Reader) (sample, error) {
	var s sample
	d := newDecoder(src, nil)
	err := d.decodeAll(Fields{
		"text": &s.Text, "count": &s.Count, "names": &s.Names,
		"nested": ReadValue(func(d *Decoder) error {
			return d.Array(func(d *Decoder) error {
				var item sampleItem
				err := d.Object(Fields{"n": &item.N, "ms": &item.Ms})
				s.Nested = append(s.Nested, item)
				return err
			})
		}),
	})
	return s, err
}

// TestStreamDecodesAsUnmarshalDoes guards against a body that is accepted, refused or
// understood differently for being decoded as a stream, wherever the network cuts it.
func TestStreamDecodesAsUnmarshalDoes(t *testing.T) {
	long := strings.Repeat(`x\"\\\u00e9é`, 500)
	for _, text := range []string{
		`{}`, ` { "text" : "a" , "count" : 3 } `, `{"TEXT":"a","Count":null}`, `{"text":"` + long + `","count":1}`,
		`{"unknown":"` + long + `","text":"b"}`, `{"` + long + `":1,"text":"b"}`, `{"names":["` + long + `","b"],"text":"c"}`,
		`{"unknown" : {"text":[1,{"a":"]}"}],"b":"\""} ,"text":"b"}`, `{"unknown":[],"a":{},"b":"","c":-1e999,"d":null,"text":"b"}`,
		`{"nested":[{"n":1,"ms":0.5,"unknown":[[]]},{}],"text":"d"}`, `{"nested":null}`, `{"nested":[ {} ] , "count":7}`,
		"{\"text\":\r\n\t" + strings.Repeat(" ", 5000) + `"a"}`, `{"text":"\ud83d\ude00"}`,
		// Not valid, or of another type.
		``, `{`, `[]`, `"text"`, `{"text":1}`, `{"text":"a"`, `{"text":"a"}{}`, `{"text":"a"} x`, `{"text" "a"}`, `{"unknown":}`,
		`{"unknown":,"text":"a"}`, `{"unknown":"a}`, `{"unknown":[1,{}`, `{"nested":[1]}`, `{"nested":{}}`, `{"count":1e40}`, `{,}`,
		`{"unknown":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	} {
		var want sample
		wantErr := json.Unmarshal([]byte(text), &want)
		for name, src := range map[string]io.Reader{
			"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text)), "with the end": iotest.DataErrReader(strings.NewReader(text)),
		} {
			got, err := decode(src)
			short := text[:min(len(text), 80)]
			if (err != nil) != (wantErr != nil) {
				t.Errorf("%s %s: error %v, want %v", name, short, err, wantErr)
			}
			gotText, _ := json.Marshal(got)
			wantText, _ := json.Marshal(want)
			if err == nil && string(gotText) != string(wantText) {
				t.Errorf("%s %s: got %.200s, want %.200s", name, short, gotText, wantText)
			}
		}
	}
}

// TestStreamTakesNoMemoryForWhatIsNotWanted guards against a buffer that grows with a body.
func TestStreamTakesNoMemoryForWhatIsNotWanted(t *testing.T) {
	const size, bound = 4 << 20, 64 << 10
	for name, fill := range map[string]string{
		"string": `"unknown":"` + strings.Repeat("x", size) + `"`,
		"array":  `"unknown":[1` + strings.Repeat(",1", size/2) + `]`,
		"name":   `"` + strings.Repeat("x", size) + `":1`,
		"space":  strings.Repeat(" ", size) + `"unknown":1`,
	} {
		text := `{` + fill + `,"text":"a"}`
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got, err := decode(strings.NewReader(text))
		runtime.ReadMemStats(&after)
		if err != nil || got.Text != "a" {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > bound {
			t.Errorf("%s: %d bytes allocated for a body of %d", name, n, len(text))
		}
	}
}

// TestWantedValuesAreBounded guards against a wanted value of any size.
func TestWantedValuesAreBounded(t *testing.T) {
	for name, value := range map[string]string{
		"string": `"` + strings.Repeat("x", maxValueBytes) + `"`,
		"array":  `["x"` + strings.Repeat(`,"x"`, maxValueBytes) + `]`,
		"number": strings.Repeat("1", maxLiteralBytes+1),
	} {
		is := is.New(t)
		_, err := decode(strings.NewReader(`{"` + map[string]string{"string": "text", "array": "names", "number": "count"}[name] + `":` + value + `}`))
		is.True(err != nil)
	}
}
