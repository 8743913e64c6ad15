package entry

import (
	"context"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
)

// logReplica is the entry's replica of the platform's log. *replica.Replica
// implements it.
type logReplica interface {
	Run(ctx context.Context) error
	Self() ownership.Member
	MayAct(service string, shard int, epoch message.Epoch) bool
	Owner(service string, shard int) (ownership.Assignment, bool)
	Owners(service string) []ownership.Member
	Service(name string) (config.Service, config.Revision, bool)
	ServiceState(name string) (config.ServiceState, bool)
	Services() []config.Service
	Members() []ownership.Member
	Ready() bool
	NotUnderstood() int
	Generation() uint64
	RegisterAgent(service, agent string) bool
	HandleMessage(from string, m message.Message) message.Message
	Publish(ctx context.Context, rec config.Record) (config.Outcome, error)
	ForceRemove(ctx context.Context, member ownership.MemberID, operator string) error
	History(name string) []config.HistoryItem
	Leave(ctx context.Context) error
}
