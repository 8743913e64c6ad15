package memory

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
)

func TestRetentionDropsOldRecords(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	log := New(Options{Retention: time.Hour, Now: func() time.Time { return now }})
	for range 3 {
		_, err := log.Append(t.Context(), []byte("x"))
		is.NoErr(err)
		now = now.Add(time.Hour / 2)
	}
	// Ages are now 90, 60 and 30 minutes; only the first is beyond retention.
	bounds, err := log.Bounds(t.Context())
	is.NoErr(err)
	is.Equal(bounds, sharedlog.Bounds{First: 2, Next: 4})
	_, err = log.Read(t.Context(), 1, 1)
	is.True(errors.Is(err, sharedlog.ErrTrimmed))
}

func TestRegistered(t *testing.T) {
	is := is.New(t)
	opener, err := kernel.Load[sharedlog.Opener]("log.memory")
	is.NoErr(err)
	log, err := opener.Open(settings.Platform{})
	is.NoErr(err)
	offset, err := log.Append(t.Context(), nil)
	is.NoErr(err)
	is.Equal(offset, sharedlog.Offset(1))
}
