package command

import (
	"os"

	"marjoramlug.example/marjoramlug/load/capacity"
	"marjoramlug.example/marjoramlug/load/slopes"
)

type slopesCommand struct {
	Peer      slopesPeerCommand      `cmd:"" help:"Play what surrounds the measured role, until interrupted."`
	Roles     slopesRolesCommand     `cmd:"" help:"Measure entry and agent against a running peer."`
	Transport slopesTransportCommand `cmd:"" help:"Measure starts and results between two ends in this process."`
	Page      slopesPageCommand      `cmd:"" help:"Work the tables of the capacity page out anew."`
	Cores     slopesCoresCommand     `cmd:"" help:"Measure the decision cores, the log's folds and the messages in this process."`
}

// Help shows examples below the usage.
func (slopesCommand) Help() string {
	return `Processor time and memory are those of the process under measurement alone, so
the peer is a process of its own. Both use loopback only.

Examples:
  marjoramlug slopes cores --out docs/capacity.json
  marjoramlug slopes peer --listen 127.0.0.1:7900
  marjoramlug slopes roles --peer 127.0.0.1:7900 --out docs/capacity.json
  marjoramlug slopes page --figures docs/capacity.json --page docs/CAPACITY.md`
}

type slopesPeerCommand struct {
	Listen string `default:"127.0.0.1:7900" help:"TCP address for the measuring process."`
}

// Help shows an example below the usage.
func (slopesPeerCommand) Help() string {
	return "Example:\n  marjoramlug slopes peer --listen 127.0.0.1:7900"
}

// Run serves until interrupted.
func (c slopesPeerCommand) Run() error {
	ctx, cancel := interruptible()
	defer cancel()
	return slopes.ServePeer(ctx, c.Listen)
}

type slopesRolesCommand struct {
	Peer     string `default:"127.0.0.1:7900" help:"TCP address of the peer."`
	Out      string `required:"" type:"path" help:"JSON file whose series are replaced or added to."`
	Only     string `enum:",log,rest,owner,relay,agent,payload,exchange" default:"" help:"Measure one role alone: log, rest, owner, relay, agent, payload or exchange."`
	Profiles string `type:"existingdir" help:"Folder for one CPU profile a role."`
}

// Help shows an example below the usage.
func (slopesRolesCommand) Help() string {
	return "Example:\n  marjoramlug slopes roles --peer 127.0.0.1:7900 --out docs/capacity.json"
}

// Run measures and writes the figures.
func (c slopesRolesCommand) Run() error {
	return updateReport(c.Out, func(r *slopes.Report) error {
		return slopes.Measure(slopes.Options{Peer: c.Peer, Only: c.Only, Profiles: c.Profiles, Progress: os.Stderr}, r)
	})
}

type slopesCoresCommand struct {
	Out string `required:"" type:"path" help:"JSON file whose series are replaced or added to."`
}

// Help shows an example below the usage.
func (slopesCoresCommand) Help() string {
	return "Example:\n  marjoramlug slopes cores --out docs/capacity.json"
}

// Run measures and writes the figures.
func (c slopesCoresCommand) Run() error {
	return updateReport(c.Out, func(r *slopes.Report) error {
		return slopes.MeasureWithoutPeer(r, os.Stderr)
	})
}

type slopesTransportCommand struct{}

// Help shows an example below the usage.
func (slopesTransportCommand) Help() string {
	return "Example:\n  marjoramlug slopes transport"
}

// Run measures and prints a table.
func (slopesTransportCommand) Run() error {
	ctx, cancel := interruptible()
	defer cancel()
	return slopes.RoundTrips(ctx, os.Stdout)
}

type slopesPageCommand struct {
	Figures string `required:"" type:"existingfile" help:"JSON file with the figures."`
	Page    string `required:"" type:"existingfile" help:"Page whose tables are replaced."`
}

// Help shows an example below the usage.
func (slopesPageCommand) Help() string {
	return "Example:\n  marjoramlug slopes page --figures docs/capacity.json --page docs/CAPACITY.md"
}

// Run replaces the page's tables.
func (c slopesPageCommand) Run() error {
	report, err := slopes.Read(c.Figures)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	updated, err := capacity.Update(string(page), report)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Page, []byte(updated), 0o644)
}

// updateReport reads the report at path, or creates one if it does not exist,
// calls f to change it and writes it back.
func updateReport(path string, f func(*slopes.Report) error) error {
	report := slopes.NewReport()
	if _, err := os.Stat(path); err == nil {
		if report, err = slopes.Read(path); err != nil {
			return err
		}
	}
	if err := f(report); err != nil {
		return err
	}
	return report.Write(path)
}
