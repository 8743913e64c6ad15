package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"marjoramlug.example/marjoramlug/agent"
)

// announcer is a client of the agent's HTTP interface.
type announcer struct {
	path string
	base *sling.Sling
	body agent.Announcement
}

func newAnnouncer(o Options, address string) *announcer {
	return &announcer{
		path: fmt.Sprintf("/v1/endpoints/%s/%s", o.Service, o.Name),
		base: sling.New().Client(&http.Client{}).Base("http://" + o.Agent),
		body: agent.Announcement{
			Address: address, Slots: o.Slots, Connections: o.Connections,
			Memory: o.Memory, Accelerators: o.Accelerators,
		},
	}
}

// announce sends the announcement and returns the interval after which the agent
// expects the next one.
func (a *announcer) announce(ctx context.Context) (time.Duration, error) {
	req, err := a.base.New().Put(a.path).BodyJSON(a.body).Request()
	if err != nil {
		return 0, err
	}
	var reply agent.AnnouncementReply
	var problem agent.Problem
	resp, err := a.base.New().Do(req.WithContext(ctx), &reply, &problem)
	if err != nil {
		return 0, fmt.Errorf("announce %s: %w", a.path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("announce %s: %d %s %s", a.path, resp.StatusCode, problem.Title, problem.Detail)
	}
	return time.Duration(reply.RepeatMillis) * time.Millisecond, nil
}

func (a *announcer) leave(ctx context.Context) error {
	req, err := a.base.New().Delete(a.path).Request()
	if err != nil {
		return err
	}
	resp, err := a.base.New().Do(req.WithContext(ctx), nil, nil)
	if err != nil {
		return fmt.Errorf("leave %s: %w", a.path, err)
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("leave %s: status %d", a.path, resp.StatusCode)
	}
	return nil
}
