package command

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport/pki"
)

const (
	hoursPerDay = 24
	// Certificates are readable by all users, keys only by their owner.
	certFileMode = 0o644
	keyFileMode  = 0o600

	authorityName = "ca"
)

type keysCommand struct {
	Folder string   `type:"path" help:"Folder to write to. Without it, everything is printed."`
	Entry  []string `help:"Name of an entry that gets a certificate; may be repeated." placeholder:"NAME"`
	Agent  []string `help:"Name of an agent that gets a certificate; may be repeated." placeholder:"NAME"`
	Days   int      `default:"365" help:"Validity in days."`
}

// Help shows examples below the usage.
func (keysCommand) Help() string {
	return `Example:
  marjoramlug keys --folder keys --entry entry-1 --entry entry-2 --agent agent-1
  marjoramlug keys --entry entry-1 --agent agent-1

Makes a certificate authority and certificates for mutual TLS between processes.
A folder that holds ca.crt and ca.key keeps its authority; certificates that
exist are not replaced. What is printed are the tls sections of the settings,
and the authority last. Keep ca.key apart from the processes: whoever has it can
act as any of them.`
}

// issuedCert is a certificate for one process. name is ROLE-PROCESS, the base
// name of its files.
type issuedCert struct {
	name string
	pair pki.KeyPair
}

// Run creates the certificates and writes them to the folder or prints them.
func (c keysCommand) Run() error {
	if len(c.Entry)+len(c.Agent) == 0 || c.Days < 1 {
		return fmt.Errorf("%w: name at least one --entry or --agent, and a positive --days", ErrUsage)
	}
	authority, err := c.authority()
	if err != nil {
		return err
	}
	certs, err := c.issue(authority)
	if err != nil {
		return err
	}
	if c.Folder == "" {
		return printKeys(os.Stdout, authority, certs)
	}
	for _, cert := range certs {
		if err := writeKeyPair(c.Folder, cert.name, cert.pair); err != nil {
			return err
		}
	}
	return nil
}

func (c keysCommand) validity() time.Duration { return time.Duration(c.Days) * hoursPerDay * time.Hour }

// authority reads the certificate authority from the folder, or creates one.
func (c keysCommand) authority() (pki.KeyPair, error) {
	if c.Folder == "" {
		return pki.NewAuthority(c.validity())
	}
	pair, err := readKeyPair(c.Folder, authorityName)
	if !errors.Is(err, fs.ErrNotExist) {
		return pair, err
	}
	if pair, err = pki.NewAuthority(c.validity()); err != nil {
		return pair, err
	}
	return pair, writeKeyPair(c.Folder, authorityName, pair)
}

func (c keysCommand) issue(authority pki.KeyPair) ([]issuedCert, error) {
	var certs []issuedCert
	add := func(role message.Role, prefix string, names []string) error {
		for _, name := range names {
			pair, err := pki.Issue(authority, pki.Subject{Role: role, Name: name}, c.validity())
			if err != nil {
				return fmt.Errorf("%w: %w", ErrUsage, err)
			}
			certs = append(certs, issuedCert{prefix + "-" + name, pair})
		}
		return nil
	}
	err := errors.Join(
		add(message.RoleEntry, "entry", c.Entry),
		add(message.RoleAgent, "agent", c.Agent),
	)
	return certs, err
}

func readKeyPair(folder, name string) (pki.KeyPair, error) {
	cert, err := os.ReadFile(filepath.Join(folder, name+".crt"))
	if err != nil {
		return pki.KeyPair{}, err
	}
	key, err := os.ReadFile(filepath.Join(folder, name+".key"))
	if errors.Is(err, fs.ErrNotExist) {
		// Without this, a certificate without its key would count as an empty folder
		// and get a new authority.
		err = fmt.Errorf("%s.crt exists, but %s.key does not", name, name)
	}
	return pki.KeyPair{Cert: string(cert), Key: string(key)}, err
}

func writeKeyPair(folder, name string, pair pki.KeyPair) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(folder, name+".key"), pair.Key, keyFileMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(folder, name+".crt"), pair.Cert, certFileMode)
}

// writeNew creates and writes a file; it returns an error if the file exists.
func writeNew(path, text string, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// printedKeys is one YAML document of the printed output.
type printedKeys struct {
	Process string       `yaml:"process"`
	TLS     settings.TLS `yaml:"tls"`
}

func printKeys(w io.Writer, authority pki.KeyPair, certs []issuedCert) error {
	encoder := yaml.NewEncoder(w, yaml.UseLiteralStyleIfMultiline(true))
	for _, cert := range certs {
		section := settings.TLS{CA: authority.Cert, Cert: cert.pair.Cert, Key: cert.pair.Key}
		if err := encoder.Encode(printedKeys{cert.name, section}); err != nil {
			return err
		}
	}
	return encoder.Encode(printedKeys{authorityName, settings.TLS{Cert: authority.Cert, Key: authority.Key}})
}
