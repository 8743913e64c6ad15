package command

import (
	"context"
	"fmt"
	"os"

	"marjoramlug.example/marjoramlug/api"
)

type ownerCommand struct {
	List   ownerListCommand   `cmd:"" help:"List the entries that own shards."`
	Remove ownerRemoveCommand `cmd:"" help:"Take the shards from an entry that no longer runs."`
}

type ownerListCommand struct {
	operatorFlags
}

// Help shows examples below the usage.
func (ownerListCommand) Help() string {
	return "Example:\n  marjoramlug owner list"
}

// Run prints the entries that own shards.
func (c ownerListCommand) Run() error { return c.call(c.list) }

func (c ownerListCommand) list(ctx context.Context, client *api.OperatorClient) error {
	list, err := client.ListMembers(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printIndented(os.Stdout, list)
	}
	w := newTable()
	fmt.Fprintln(w, "MEMBER\tZONE\tREGION\tADDRESS\tHTTP")
	for _, m := range list.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.Zone, m.Region, m.Address, m.HTTPAddress)
	}
	return w.Flush()
}

type ownerRemoveCommand struct {
	operatorFlags
	Member string `arg:"" help:"Member as printed by owner list."`
	// Stopped is required because the system cannot detect by itself that the
	// process has ended.
	Stopped bool `required:"" help:"Confirms that the member's process no longer runs."`
}

// Help shows examples below the usage.
func (ownerRemoveCommand) Help() string {
	return `Example:
  marjoramlug owner remove entry-2-3d4706857e7e4eba --stopped

The entry is removed without a wait for its lease. If its process still runs,
tasks of its shards may start twice: stop the process or its VM first.`
}

// Run removes the member.
func (c ownerRemoveCommand) Run() error { return c.call(c.remove) }

func (c ownerRemoveCommand) remove(ctx context.Context, client *api.OperatorClient) error {
	if err := client.RemoveMember(ctx, c.Member); err != nil {
		return withExitCode(err)
	}
	fmt.Printf("%s removed\n", c.Member)
	return nil
}
