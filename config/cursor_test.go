package config

import (
	"testing"

	"github.com/matryer/is"
)

func TestCursor(t *testing.T) {
	read := func(offset Revision) func(*Cursor) bool {
		return func(c *Cursor) bool { return c.Read(offset) }
	}
	skipTo := func(first Revision) func(*Cursor) bool {
		return func(c *Cursor) bool { c.SkipTo(first); return true }
	}
	adopt := func(covered Revision) func(*Cursor) bool {
		return func(c *Cursor) bool { return c.Adopt(covered) }
	}
	end := func(c *Cursor) bool { c.ReachedEnd(); return true }
	type step struct {
		do       func(*Cursor) bool
		ok       bool
		applied  Revision
		complete bool
		next     Revision
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"from the first record", []step{{read(1), true, 1, true, 2}, {read(2), true, 2, true, 3}}},
		{"an empty log", []step{{end, true, 0, true, 1}}},
		{"an offset other than Next is ignored", []step{{read(2), false, 0, false, 1}}},
		{"gap at the start", []step{
			{skipTo(5), true, 0, false, 5},
			{read(5), false, 0, false, 6},
			{adopt(3), false, 0, false, 6}, // does not close the gap
			{adopt(4), true, 4, true, 5},   // reads record 5 again
			{read(5), true, 5, true, 6},
		}},
		{"gap after a pause", []step{
			{read(1), true, 1, true, 2},
			{skipTo(9), true, 1, false, 9},
			{read(9), false, 1, false, 10},
			{adopt(12), true, 12, true, 13}, // from a peer that is ahead
		}},
		{"a snapshot that covers nothing new is ignored", []step{
			{read(1), true, 1, true, 2},
			{read(2), true, 2, true, 3},
			{adopt(1), false, 2, true, 3},
			{adopt(2), false, 2, true, 3},
		}},
		{"the log drops more records during the search", []step{
			{skipTo(5), true, 0, false, 5},
			{skipTo(9), true, 0, false, 9},
			{adopt(5), false, 0, false, 9},
			{adopt(8), true, 8, true, 9},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cursor := new(Cursor)
			for _, s := range c.steps {
				is.Equal(s.do(cursor), s.ok)
				is.Equal(cursor.Applied(), s.applied)
				is.Equal(cursor.Complete(), s.complete)
				is.Equal(cursor.Next(), s.next)
			}
		})
	}
}
