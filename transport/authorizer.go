package transport

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/telemetry"
)

const (
	// counterRefused counts connections whose Hello does not match the peer's
	// certificate.
	counterRefused = "transport.hello.refused"
	// counterDropped is the prefix of the counters, one for each message kind, of
	// messages that the sender's role may not send.
	counterDropped = "transport.dropped."
)

// agentKinds are the kinds of messages that agents send. Entries send all others.
var agentKinds = map[message.Kind]bool{
	message.KindAnnounce:     true,
	message.KindCredits:      true,
	message.KindWithdraw:     true,
	message.KindHeartbeat:    true,
	message.KindResult:       true,
	message.KindJournal:      true,
	message.KindInquiryReply: true,
	message.KindRunReport:    true,
}

// mayRoleSend reports whether a process of a role may send messages of a kind.
func mayRoleSend(role message.Role, kind message.Kind) bool {
	switch role {
	case message.RoleEntry:
		return !agentKinds[kind]
	case message.RoleAgent:
		return agentKinds[kind]
	default:
		return false
	}
}

// authorizer checks a peer's Hello and the kinds of messages that it sends, and
// counts what it refuses.
type authorizer struct {
	metrics *telemetry.Registry
	// verify checks a Hello against the peer's certificate; nil accepts any Hello.
	verify func(message.Hello) error
	// place is that of an accepted connection, or nil.
	place *peerPlace
}

func (a authorizer) check(hello message.Hello) error {
	if a.verify != nil {
		if err := a.verify(hello); err != nil {
			a.count(counterRefused)
			return err
		}
	}
	return nil
}

func (a authorizer) allow(peer message.Hello, kind message.Kind) bool {
	if mayRoleSend(peer.Role, kind) {
		a.place.used()
		return true
	}
	a.count(counterDropped + kind.String())
	return false
}

func (a authorizer) count(name string) {
	if a.metrics != nil {
		a.metrics.Add(name, 1)
	}
}
