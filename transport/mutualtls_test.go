package transport

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport/pki"
)

// splitNetwork listens with the credentials of an entry and dials with those of
// an agent.
type splitNetwork struct {
	entry, agent *QUIC
}

func (s splitNetwork) Listen(address string, self message.Hello, h Handler) (Listener, error) {
	return s.entry.Listen(address, self, h)
}

func (s splitNetwork) Dial(ctx context.Context, address string, self message.Hello, h Handler) (Conn, error) {
	return s.agent.Dial(ctx, address, self, h)
}

func newAuthority(t testing.TB) pki.KeyPair {
	t.Helper()
	authority, err := pki.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func tlsFor(t testing.TB, authority pki.KeyPair, s pki.Subject) settings.TLS {
	t.Helper()
	pair, err := pki.Issue(authority, s, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{CA: authority.Cert, Cert: pair.Cert, Key: pair.Key}
}

func newSecuredQUIC(t testing.TB, s settings.TLS, options ...Option) *QUIC {
	t.Helper()
	n, err := NewQUIC(s, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

var (
	entrySubject = pki.Subject{Role: message.RoleEntry, Name: entryHello.Name}
	agentSubject = pki.Subject{Role: message.RoleAgent, Name: agentHello.Name}
)

func newMutualNetwork(t testing.TB) splitNetwork {
	authority := newAuthority(t)
	return splitNetwork{newSecuredQUIC(t, tlsFor(t, authority, entrySubject)), newSecuredQUIC(t, tlsFor(t, authority, agentSubject))}
}

func TestHelloMustMatchCertificate(t *testing.T) {
	authority, other := newAuthority(t), newAuthority(t)
	asEntry := message.Hello{Role: message.RoleEntry, Name: agentHello.Name}
	asOther := message.Hello{Role: message.RoleAgent, Name: "agent-2"}
	tests := []struct {
		name    string
		tls     settings.TLS
		hello   message.Hello
		ok      bool
		refused int64 // Hello messages that the listener refused
	}{
		{"itself", tlsFor(t, authority, agentSubject), agentHello, true, 0},
		{"another role", tlsFor(t, authority, agentSubject), asEntry, false, 1},
		{"another name", tlsFor(t, authority, agentSubject), asOther, false, 1},
		{"another authority", tlsFor(t, other, agentSubject), agentHello, false, 0},
		{"no certificate", settings.TLS{}, agentHello, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			metrics := telemetry.New()
			server := newRecorder()
			l, err := newSecuredQUIC(t, tlsFor(t, authority, entrySubject), WithMetrics(metrics)).Listen("127.0.0.1:0", entryHello, server)
			is.NoErr(err)
			_, err = newSecuredQUIC(t, test.tls).Dial(t.Context(), l.Address(), test.hello, newRecorder())
			is.Equal(err == nil, test.ok)
			is.NoErr(l.Close())
			is.Equal(len(server.connected) == 1, test.ok)
			is.Equal(metrics.Counters()[counterRefused], test.refused)
		})
	}
}

func TestDialerVerifiesListenerCertificate(t *testing.T) {
	is := is.New(t)
	authority := newAuthority(t)
	// The listener has an agent's certificate but claims to be an entry.
	l, err := newSecuredQUIC(t, tlsFor(t, authority, agentSubject)).Listen("127.0.0.1:0", entryHello, newRecorder())
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	_, err = newSecuredQUIC(t, tlsFor(t, authority, agentSubject)).Dial(t.Context(), l.Address(), agentHello, newRecorder())
	is.True(err != nil)
}

func TestReloadTakesEffectWithoutRestart(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	entry := newSecuredQUIC(t, tlsFor(t, before, entrySubject))
	agent := newSecuredQUIC(t, tlsFor(t, after, agentSubject))
	server := newRecorder()
	l, err := entry.Listen("127.0.0.1:0", entryHello, server)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	_, err = agent.Dial(t.Context(), l.Address(), agentHello, newRecorder())
	is.True(err != nil)

	is.NoErr(entry.Reload(tlsFor(t, after, entrySubject)))
	conn, err := agent.Dial(t.Context(), l.Address(), agentHello, newRecorder())
	is.NoErr(err)
	is.NoErr(conn.Send(&message.Heartbeat{}))
	<-server.received

	is.True(entry.Reload(settings.TLS{CA: "broken", Cert: "broken", Key: "broken"}) != nil)
	_, err = agent.Dial(t.Context(), l.Address(), agentHello, newRecorder()) // the previous credentials stay in use
	is.NoErr(err)
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	authority := newAuthority(t)
	expired, err := pki.Issue(authority, agentSubject, -time.Minute)
	is.NoErr(err)
	l, err := newSecuredQUIC(t, tlsFor(t, authority, entrySubject)).Listen("127.0.0.1:0", entryHello, newRecorder())
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	agent := newSecuredQUIC(t, settings.TLS{CA: authority.Cert, Cert: expired.Cert, Key: expired.Key})
	_, err = agent.Dial(t.Context(), l.Address(), agentHello, newRecorder())
	is.True(err != nil)
}
