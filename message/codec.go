package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Message is any of the typed messages of this package.
type Message interface {
	// Kind returns the message's number on the wire.
	Kind() Kind
}

// Kind numbers the message types. Numbers are never reused.
type Kind uint8

// The kinds of messages.
const (
	KindHello Kind = iota + 1
	KindAnnounce
	KindCredits
	KindWithdraw
	KindHeartbeat
	KindStart
	KindResult
	KindCancel
	KindDemand
	KindJournalRequest
	KindJournal
	KindInquiry
	KindInquiryReply
	KindView
	KindSubmit
	KindAnswer
	KindCancelJob
	KindStatusRequest
	KindStatus
	KindAbandon
	KindPromiseRequest
	KindPromise
	KindStateRequest
	KindStateReply
	KindRoster
	KindRunOrders
	KindRunReport
	KindCompletedJobs
	KindJobSearch
	KindJobSearchReply
	KindEntryState
	KindCrashNotice
	KindForwardOrders
	KindForwardReport
	kindEnd
)

var kindNames = [...]string{
	KindHello: "hello", KindAnnounce: "announce", KindCredits: "credits", KindWithdraw: "withdraw",
	KindHeartbeat: "heartbeat", KindStart: "start", KindResult: "result", KindCancel: "cancel",
	KindDemand: "demand", KindJournalRequest: "journal-request", KindJournal: "journal",
	KindInquiry: "inquiry", KindInquiryReply: "inquiry-reply", KindView: "view", KindSubmit: "submit",
	KindAnswer: "answer", KindCancelJob: "cancel-job", KindStatusRequest: "status-request",
	KindStatus: "status", KindAbandon: "abandon", KindPromiseRequest: "promise-request",
	KindPromise: "promise", KindStateRequest: "state-request", KindStateReply: "state-reply",
	KindRoster: "roster", KindRunOrders: "run-orders", KindRunReport: "run-report", KindCompletedJobs: "ended-jobs", KindJobSearch: "job-search", KindJobSearchReply: "job-found", KindEntryState: "entry-state", KindCrashNotice: "crash-notice",
	KindForwardOrders: "forward-orders", KindForwardReport: "forward-report",
}

// String returns the kind's name as used in metric names.
func (k Kind) String() string {
	if k > 0 && k < kindEnd {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, int(kindEnd)-1)
	for k := KindHello; k < kindEnd; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (*Credits) Kind() Kind { return KindCredits }

// Kind implements Message.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*Start) Kind() Kind { return KindStart }

// Kind implements Message.
func (*Result) Kind() Kind { return KindResult }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Demand) Kind() Kind { return KindDemand }

// Kind implements Message.
func (*JournalRequest) Kind() Kind { return KindJournalRequest }

// Kind implements Message.
func (*Journal) Kind() Kind { return KindJournal }

// Kind implements Message.
func (*Inquiry) Kind() Kind { return KindInquiry }

// Kind implements Message.
func (*InquiryReply) Kind() Kind { return KindInquiryReply }

// Kind implements Message.
func (*View) Kind() Kind { return KindView }

// Kind implements Message.
func (*Submit) Kind() Kind { return KindSubmit }

// Kind implements Message.
func (*Answer) Kind() Kind { return KindAnswer }

// Kind implements Message.
func (*CancelJob) Kind() Kind { return KindCancelJob }

// Kind implements Message.
func (*StatusRequest) Kind() Kind { return KindStatusRequest }

// Kind implements Message.
func (*Status) Kind() Kind { return KindStatus }

// Kind implements Message.
func (*Abandon) Kind() Kind { return KindAbandon }

// Kind implements Message.
func (*PromiseRequest) Kind() Kind { return KindPromiseRequest }

// Kind implements Message.
func (*Promise) Kind() Kind { return KindPromise }

// Kind implements Message.
func (*StateRequest) Kind() Kind { return KindStateRequest }

// Kind implements Message.
func (*StateReply) Kind() Kind { return KindStateReply }

// Kind implements Message.
func (*Roster) Kind() Kind { return KindRoster }

// Kind implements Message.
func (*RunOrders) Kind() Kind { return KindRunOrders }

// Kind implements Message.
func (*RunReport) Kind() Kind { return KindRunReport }

// Kind implements Message.
func (*CompletedJobs) Kind() Kind { return KindCompletedJobs }

// Kind implements Message.
func (*JobSearch) Kind() Kind { return KindJobSearch }

// Kind implements Message.
func (*JobSearchReply) Kind() Kind { return KindJobSearchReply }

// Kind implements Message.
func (*EntryState) Kind() Kind { return KindEntryState }

// Kind implements Message.
func (*CrashNotice) Kind() Kind { return KindCrashNotice }

// Kind implements Message.
func (*ForwardOrders) Kind() Kind { return KindForwardOrders }

// Kind implements Message.
func (*ForwardReport) Kind() Kind { return KindForwardReport }

var constructors = [kindEnd]func() Message{
	KindHello:          func() Message { return new(Hello) },
	KindAnnounce:       func() Message { return new(Announce) },
	KindCredits:        func() Message { return new(Credits) },
	KindWithdraw:       func() Message { return new(Withdraw) },
	KindHeartbeat:      func() Message { return new(Heartbeat) },
	KindStart:          func() Message { return new(Start) },
	KindResult:         func() Message { return new(Result) },
	KindCancel:         func() Message { return new(Cancel) },
	KindDemand:         func() Message { return new(Demand) },
	KindJournalRequest: func() Message { return new(JournalRequest) },
	KindJournal:        func() Message { return new(Journal) },
	KindInquiry:        func() Message { return new(Inquiry) },
	KindInquiryReply:   func() Message { return new(InquiryReply) },
	KindView:           func() Message { return new(View) },
	KindSubmit:         func() Message { return new(Submit) },
	KindAnswer:         func() Message { return new(Answer) },
	KindCancelJob:      func() Message { return new(CancelJob) },
	KindStatusRequest:  func() Message { return new(StatusRequest) },
	KindStatus:         func() Message { return new(Status) },
	KindAbandon:        func() Message { return new(Abandon) },
	KindPromiseRequest: func() Message { return new(PromiseRequest) },
	KindPromise:        func() Message { return new(Promise) },
	KindStateRequest:   func() Message { return new(StateRequest) },
	KindStateReply:     func() Message { return new(StateReply) },
	KindRoster:         func() Message { return new(Roster) },
	KindRunOrders:      func() Message { return new(RunOrders) },
	KindRunReport:      func() Message { return new(RunReport) },
	KindCompletedJobs:  func() Message { return new(CompletedJobs) },
	KindJobSearch:      func() Message { return new(JobSearch) },
	KindJobSearchReply: func() Message { return new(JobSearchReply) },
	KindEntryState:     func() Message { return new(EntryState) },
	KindCrashNotice:    func() Message { return new(CrashNotice) },
	KindForwardOrders:  func() Message { return new(ForwardOrders) },
	KindForwardReport:  func() Message { return new(ForwardReport) },
}

// maxArrayElements is the maximum length of an array in a message. A job has at
// most 1,900 tasks, and a part of a journal has fewer entries than this.
const maxArrayElements = 1 << 17

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Append encodes m and appends its kind and body to buf. It returns buf
// unchanged when m can't be encoded.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return buf, fmt.Errorf("encode %s: %w", m.Kind(), err)
	}
	buf = append(buf, byte(m.Kind()))
	return append(buf, body...), nil
}

// UnknownKindError is the error for a message kind that this version does not know;
// its value is the kind.
type UnknownKindError Kind

// Error implements error.
func (e UnknownKindError) Error() string { return fmt.Sprintf("unknown message kind %d", uint8(e)) }

// Decode decodes a message encoded by Append. It returns an UnknownKindError for a
// kind that this version does not know.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("empty message")
	}
	kind := Kind(data[0])
	if kind == 0 || kind >= kindEnd {
		return nil, UnknownKindError(kind)
	}
	m := constructors[kind]()
	if err := decMode.Unmarshal(data[1:], m); err != nil {
		return nil, fmt.Errorf("decode %s: %w", kind, err)
	}
	return m, nil
}
