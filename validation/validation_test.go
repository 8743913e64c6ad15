package validation

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type inner struct {
	Name string `yaml:"name" validate:"required,max=4"`
}

type sample struct {
	inner   `yaml:",inline"`
	Address string        `yaml:"address" validate:"omitempty,address"`
	Count   int           `yaml:"count" validate:"gte=0,lte=9"`
	Share   float64       `yaml:"share"`
	On      bool          `yaml:"on"`
	Pause   time.Duration `yaml:"pause" validate:"gte=0"`
	List    []inner       `yaml:"list" validate:"dive"`
	Next    *inner        `yaml:"next"`
	Secret  string        `yaml:"secret" secret:"true"`
	Level   string        `yaml:"level" validate:"omitempty,oneof=low high"`
}

func decode(text string) (*sample, error) {
	s := new(sample)
	err := DecodeAndCheck([]byte(text), s, func() {})
	return s, err
}

func TestDecodeAndCheck(t *testing.T) {
	is := is.New(t)
	got, err := decode(`
name: a
address: "[::1]:80"
count: 3
share: 2
on: true
pause: 250ms
list: [{name: b}, {name: c}]
next: {name: d}
secret: "007"
`)
	is.NoErr(err)
	is.Equal(*got, sample{
		inner: inner{"a"}, Address: "[::1]:80", Count: 3, Share: 2, On: true,
		Pause: 250 * time.Millisecond, List: []inner{{"b"}, {"c"}}, Next: &inner{"d"}, Secret: "007",
	})
}

func TestFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "name: a\ncuont: 1", "cuont: got an unknown key, expected one of address, count, level, list, name, next, on, pause, secret, share"},
		{"unknown key below", "name: a\nlist: [{name: b, x: 1}]", "list[0].x: got an unknown key, expected one of name"},
		{"missing", "count: 1", "name: got nothing, expected a value"},
		{"missing below", "name: a\nlist: [{}]", "list[0].name: got nothing, expected a value"},
		{"too long", "name: abcde", `name: got "abcde", expected at most 4 characters`},
		{"too large", "name: a\ncount: 10", "count: got 10, expected at most 9"},
		{"negative duration", "name: a\npause: -1s", "pause: got -1s, expected at least 0"},
		{"no unit", "name: a\npause: 5", "pause: got 5, expected a duration such as 250ms or 2s"},
		{"address", "name: a\naddress: here", `address: got "here", expected an address of the form host:port`},
		{"no port", "name: a\naddress: \"::1:0\"", `address: got "::1:0", expected an address of the form host:port`},
		{"choice", "name: a\nlevel: mid", `level: got "mid", expected one of low, high`},
		{"text for number", "name: a\ncount: many", `count: got "many", expected a whole number`},
		{"fraction for number", "name: a\ncount: 1.5", "count: got 1.5, expected a whole number"},
		{"text for boolean", "name: a\non: maybe", `on: got "maybe", expected true or false`},
		{"number for text", "name: 1.10", "name: got 1.1, expected text (in quotes when it looks like a number)"},
		{"scalar for list", "name: a\nlist: 1", "list: got 1, expected a list"},
		{"scalar for struct", "name: a\nnext: 1", "next: got 1, expected keys with values"},
		{"scalar for document", "5", "document: got 5, expected keys with values"},
		{"secret", "name: a\nsecret: 12345", "secret: got (hidden), expected text (in quotes when it looks like a number)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := decode(c.text)
			is.True(err != nil)
			is.Equal(FaultsOf(err)[0].Error(), c.want)
		})
	}
}

func TestAllFaultsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	_, err := decode("count: many\naddress: here\nlist: [{name: abcde}]\nextra: 1\n")
	var paths []string
	for _, f := range FaultsOf(err) {
		paths = append(paths, f.Path)
	}
	is.Equal(strings.Join(paths, " "), "count extra name address list[0].name")
}

func TestSyntaxErrorsAreNotFaults(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"a: [", "name: a\nname: b"} {
		_, err := decode(text)
		is.True(err != nil)
		is.Equal(len(FaultsOf(err)), 0)
	}
}
