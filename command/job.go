package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"marjoramlug.example/marjoramlug/api"
)

type jobCommand struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a job and wait for its answer."`
	Status jobStatusCommand `cmd:"" help:"Print a job's state."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a job and print its state."`
}

// serverFlags identify the entries to call and the caller.
type serverFlags struct {
	Server []string `help:"Base URL of an entry; may be repeated." default:"http://127.0.0.1:8001" env:"MARJORAMLUG_SERVER"`
	Token  string   `help:"Token of the team." env:"MARJORAMLUG_TOKEN"`
	Caller string   `help:"Name of the caller within the team."`
}

// callFunc sends a request about a job.
type callFunc func(ctx context.Context, client *api.Client) (*api.JobResponse, error)

// call makes the call, which SIGINT cancels, and prints the answer as JSON. The
// answer of a failed job is printed, too.
func (f serverFlags) call(call callFunc) error {
	client, err := api.NewClient(api.ClientOptions{Servers: f.Server, Token: f.Token, Caller: f.Caller})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	ctx, cancel := interruptible()
	defer cancel()
	resp, err := call(ctx, client)
	if resp == nil {
		return err
	}
	if printErr := printIndented(os.Stdout, resp); printErr != nil {
		return printErr
	}
	return err
}

type jobSubmitCommand struct {
	serverFlags
	Service  string        `arg:"" help:"Name of the service."`
	File     string        `arg:"" type:"existingfile" help:"JSON file with the tasks, as in the body of POST …/jobs."`
	ID       string        `help:"Job ID; by default a new one."`
	FirstAt  time.Time     `help:"Time of the first submission (RFC 3339), when the job was submitted before."`
	Deadline time.Duration `help:"Time from now until which the answer is of use."`
}

// Help shows examples below the usage.
func (jobSubmitCommand) Help() string {
	return "Example:\n  marjoramlug job submit trials examples/job.json --deadline 10s"
}

// Run submits the job and prints its answer as JSON.
func (c jobSubmitCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var req api.JobRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUsage, c.File, err)
	}
	job := api.Job{Service: c.Service, ID: c.ID, Tasks: req.Tasks, SubmittedAt: c.FirstAt}
	if c.Deadline > 0 {
		job.Deadline = time.Now().Add(c.Deadline)
	}
	return c.call(func(ctx context.Context, client *api.Client) (*api.JobResponse, error) {
		return client.Submit(ctx, job)
	})
}

type jobStatusCommand struct {
	serverFlags
	Service string `arg:"" help:"Name of the service."`
	Job     string `arg:"" help:"Job ID."`
}

// Help shows examples below the usage.
func (jobStatusCommand) Help() string {
	return "Example:\n  marjoramlug job status trials batch-17"
}

// Run prints the job's state as JSON.
func (c jobStatusCommand) Run() error {
	return c.call(func(ctx context.Context, client *api.Client) (*api.JobResponse, error) {
		return client.Status(ctx, c.Service, c.Job)
	})
}

type jobCancelCommand struct {
	serverFlags
	Service string `arg:"" help:"Name of the service."`
	Job     string `arg:"" help:"Job ID."`
}

// Help shows examples below the usage.
func (jobCancelCommand) Help() string {
	return "Example:\n  marjoramlug job cancel trials batch-17"
}

// Run cancels the job and prints its state as JSON.
func (c jobCancelCommand) Run() error {
	return c.call(func(ctx context.Context, client *api.Client) (*api.JobResponse, error) {
		return client.Cancel(ctx, c.Service, c.Job)
	})
}
