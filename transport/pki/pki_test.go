package pki

import (
	"crypto/x509"
	"encoding/pem"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

func TestSubjectRoundTrip(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority(time.Hour)
	is.NoErr(err)
	for role := range roleNames {
		want := Subject{role, "process-1.zone_a"}
		pair, err := Issue(authority, want, time.Hour)
		is.NoErr(err)
		block, _ := pem.Decode([]byte(pair.Cert))
		cert, err := x509.ParseCertificate(block.Bytes)
		is.NoErr(err)
		got, err := SubjectOf(cert)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestInvalidSubjectsAreRejected(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority(time.Hour)
	is.NoErr(err)
	for _, s := range []Subject{
		{message.RoleUnknown, "a"}, {message.RoleEntry, ""}, {message.RoleEntry, "../a"},
		{message.RoleEntry, "a b"}, {message.RoleEntry, "a/b"},
	} {
		if _, err := Issue(authority, s, time.Hour); err == nil {
			t.Errorf("Issue(%+v) returned no error", s)
		}
	}
}

func TestCertificatesWithoutProcessSubjectAreRejected(t *testing.T) {
	for _, text := range []string{"https://entry/entry-1", "marjoramlug://operator/entry-1", "marjoramlug://entry/", "marjoramlug://entry/a/b"} {
		uri, err := url.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if s, err := SubjectOf(&x509.Certificate{URIs: []*url.URL{uri}}); err == nil {
			t.Errorf("SubjectOf certificate with URI %s: got %+v, want an error", text, s)
		}
	}
}
