package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
)

type configCommand struct {
	Apply   configApplyCommand   `cmd:"" help:"Create or change a service."`
	Delete  configDeleteCommand  `cmd:"" help:"Delete a service."`
	Get     configGetCommand     `cmd:"" help:"Print a service, or list all."`
	Diff    configDiffCommand    `cmd:"" help:"Compare a file with the service in force."`
	History configHistoryCommand `cmd:"" help:"List the newest changes of a service."`
	Check   configCheckCommand   `cmd:"" help:"Check a service's file without an entry."`
}

type configApplyCommand struct {
	operatorFlags
	File   string  `arg:"" type:"existingfile" help:"Service in YAML or JSON."`
	Expect *uint64 `help:"Revision that the change is based on; 0 for a new service. By default the one in force."`
}

// Help shows examples below the usage.
func (configApplyCommand) Help() string {
	return `Examples:
  marjoramlug config apply examples/trials.yaml
  marjoramlug config apply examples/trials.yaml --expect 42

Exit codes: 0 accepted or in force already, 1 not accepted or unknown, 2 invalid,
3 another change came first. Accepted means that the change has been read back
from the log.`
}

// Run applies the file and prints the new revision.
func (c configApplyCommand) Run() error {
	s, data, err := readServiceFile(c.File)
	if err != nil {
		return err
	}
	return c.call(func(ctx context.Context, client *api.OperatorClient) error {
		return c.apply(ctx, client, s, data)
	})
}

func (c configApplyCommand) apply(ctx context.Context, client *api.OperatorClient, s config.Service, data []byte) error {
	expect, unchanged, err := c.baseRevision(ctx, client, s)
	if err != nil {
		return err
	}
	if unchanged {
		return c.printChange(api.ConfigChange{Name: s.Name, Revision: expect}, "in force already")
	}
	change, err := resolveChange(ctx, func(key string) (api.ConfigChange, error) {
		return client.Apply(ctx, s.Name, data, expect, key)
	})
	if err != nil {
		return err
	}
	return c.printChange(change, "accepted")
}

// baseRevision returns the revision that the change is based on, and whether the
// file is known to equal it. With --expect it does not ask the entry, and the
// second result is false.
func (c configApplyCommand) baseRevision(ctx context.Context, client *api.OperatorClient, next config.Service) (config.Revision, bool, error) {
	if c.Expect != nil {
		return config.Revision(*c.Expect), false, nil
	}
	entry, current, err := currentService(ctx, client, next.Name)
	if err != nil {
		return 0, false, err
	}
	differences, err := config.Diff(current, next)
	return entry.Revision, entry.Understood && len(differences) == 0, err
}

func (f operatorFlags) printChange(change api.ConfigChange, outcome string) error {
	if f.JSON {
		return printIndented(os.Stdout, change)
	}
	fmt.Printf("%s: revision %d %s\n", change.Name, change.Revision, outcome)
	return nil
}

type configDeleteCommand struct {
	operatorFlags
	Service string `arg:"" help:"Name of the service."`
	Expect  uint64 `required:"" help:"Revision that the deletion is based on."`
}

// Help shows examples below the usage.
func (configDeleteCommand) Help() string {
	return `Example:
  marjoramlug config delete trials --expect 42

Exit codes are those of config apply.`
}

// Run deletes the service.
func (c configDeleteCommand) Run() error { return c.call(c.remove) }

func (c configDeleteCommand) remove(ctx context.Context, client *api.OperatorClient) error {
	change, err := resolveChange(ctx, func(key string) (api.ConfigChange, error) {
		return client.Delete(ctx, c.Service, config.Revision(c.Expect), key)
	})
	if err != nil {
		return err
	}
	return c.printChange(change, "deleted")
}

type configGetCommand struct {
	operatorFlags
	Service string `arg:"" optional:"" help:"Name of the service; none lists all."`
}

// Help shows examples below the usage.
func (configGetCommand) Help() string {
	return "Examples:\n  marjoramlug config get\n  marjoramlug config get trials > trials.yaml"
}

// Run prints the service as YAML that config apply accepts, or lists all services.
func (c configGetCommand) Run() error {
	if c.Service == "" {
		return c.call(c.list)
	}
	return c.call(c.get)
}

func (c configGetCommand) get(ctx context.Context, client *api.OperatorClient) error {
	entry, err := client.Get(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.JSON {
		return printIndented(os.Stdout, entry)
	}
	s, err := config.ParseYAML(entry.Service)
	if err != nil {
		return err
	}
	text, err := config.FormatYAML(s)
	if err != nil {
		return err
	}
	fmt.Printf("# Revision %d, schema version %d.\n%s", entry.Revision, entry.Schema, text)
	if !entry.Understood {
		return fmt.Errorf("the entry does not understand the newest revision of %s; the printed body is an earlier one", c.Service)
	}
	return nil
}

func (c configGetCommand) list(ctx context.Context, client *api.OperatorClient) error {
	list, err := client.List(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printIndented(os.Stdout, list)
	}
	w := newTable()
	fmt.Fprintln(w, "SERVICE\tREVISION\tSCHEMA\tUNDERSTOOD")
	for _, s := range list.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%v\n", s.Name, s.Revision, s.Schema, s.Understood)
	}
	return w.Flush()
}

type configDiffCommand struct {
	operatorFlags
	File string `arg:"" type:"existingfile" help:"Service in YAML or JSON."`
}

// Help shows examples below the usage.
func (configDiffCommand) Help() string {
	return `Example:
  marjoramlug config diff examples/trials.yaml

Each line is a field: + set by the file, - set in force only, ~ changed.
Exit codes: 0 no difference, 4 differences, 1 failure, 2 invalid file.`
}

// Run prints what applying the file would change.
func (c configDiffCommand) Run() error {
	next, _, err := readServiceFile(c.File)
	if err != nil {
		return err
	}
	return c.call(func(ctx context.Context, client *api.OperatorClient) error {
		return c.compare(ctx, client, next)
	})
}

func (c configDiffCommand) compare(ctx context.Context, client *api.OperatorClient, next config.Service) error {
	_, current, err := currentService(ctx, client, next.Name)
	if err != nil {
		return err
	}
	differences, err := config.Diff(current, next)
	if err != nil {
		return err
	}
	if err := c.print(differences); err != nil || len(differences) == 0 {
		return err
	}
	return &exitCodeError{ExitDifferent, fmt.Errorf("%s differs in %d fields", next.Name, len(differences))}
}

// currentService returns the service in force with its revision, or zero values
// if the service does not exist.
func currentService(ctx context.Context, client *api.OperatorClient, name string) (api.ServiceConfig, config.Service, error) {
	entry, err := client.Get(ctx, name)
	if api.IsNotFound(err) {
		return api.ServiceConfig{}, config.Service{}, nil
	}
	if err != nil {
		return api.ServiceConfig{}, config.Service{}, err
	}
	s, err := config.ParseYAML(entry.Service)
	return entry, s, err
}

func (c configDiffCommand) print(differences []config.Difference) error {
	if c.JSON {
		return printIndented(os.Stdout, append([]config.Difference{}, differences...))
	}
	for _, d := range differences {
		fmt.Println(d)
	}
	return nil
}

type configHistoryCommand struct {
	operatorFlags
	Service string `arg:"" help:"Name of the service."`
}

// Help shows examples below the usage.
func (configHistoryCommand) Help() string {
	return "Example:\n  marjoramlug config history trials"
}

// Run prints the newest changes, oldest first.
func (c configHistoryCommand) Run() error { return c.call(c.list) }

func (c configHistoryCommand) list(ctx context.Context, client *api.OperatorClient) error {
	history, err := client.History(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.JSON {
		return printIndented(os.Stdout, history)
	}
	w := newTable()
	fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tCHANGE\tRECORD")
	for _, item := range history.Changes {
		at := time.UnixMilli(item.At).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", item.Revision, at, item.Author, describeChange(item), item.ID)
	}
	return w.Flush()
}

func describeChange(item config.HistoryItem) string {
	if item.Delete {
		return "deleted"
	}
	return fmt.Sprintf("set (schema %d)", item.Schema)
}

type configCheckCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Services in YAML or JSON."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

// Help shows examples below the usage.
func (configCheckCommand) Help() string {
	return "Example:\n  marjoramlug config check examples/trials.yaml examples/tray.yaml"
}

// Run reports every error in every file.
func (c configCheckCommand) Run() error {
	var errs []error
	checks := map[string]api.ConfigCheck{}
	for _, path := range c.Files {
		s, _, err := readServiceFile(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		checks[path] = api.ConfigCheck{Valid: true, Schema: config.LowestSchema(s)}
		if !c.JSON {
			fmt.Printf("%s: valid, service %s, schema version %d\n", path, s.Name, config.LowestSchema(s))
		}
	}
	if c.JSON {
		errs = append(errs, json.NewEncoder(os.Stdout).Encode(checks))
	}
	return errors.Join(errs...)
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }
