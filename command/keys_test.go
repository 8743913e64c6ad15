package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/transport/pki"
)

func TestFolderKeysAreUsableAndNotReplaced(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "keys")
	is.NoErr(keysCommand{Folder: folder, Entry: []string{"entry-1"}, Days: 1}.Run())
	is.NoErr(keysCommand{Folder: folder, Agent: []string{"agent-1"}, Days: 1}.Run()) // same authority
	is.True(keysCommand{Folder: folder, Agent: []string{"agent-1"}, Days: 1}.Run() != nil)

	ca, err := readKeyPair(folder, authorityName)
	is.NoErr(err)
	for _, name := range []string{"entry-entry-1", "agent-agent-1"} {
		pair, err := readKeyPair(folder, name)
		is.NoErr(err)
		_, err = transport.NewQUIC(settings.TLS{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key})
		is.NoErr(err)
		info, err := os.Stat(filepath.Join(folder, name+".key"))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(keyFileMode))
	}
}

func TestAuthorityWithoutItsKeyIsNotReplaced(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	command := keysCommand{Folder: folder, Entry: []string{"entry-1"}, Days: 1}
	is.NoErr(command.Run())
	is.NoErr(os.Remove(filepath.Join(folder, "ca.key")))
	command.Entry = []string{"entry-2"}
	is.True(command.Run() != nil)
}

func TestPrintedKeysDecodeAsSettings(t *testing.T) {
	is := is.New(t)
	command := keysCommand{Entry: []string{"entry-1"}, Days: 1}
	authority, err := command.authority()
	is.NoErr(err)
	certs, err := command.issue(authority)
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(printKeys(&out, authority, certs))
	var first printedKeys
	is.NoErr(yaml.NewDecoder(&out).Decode(&first))
	is.Equal(first.Process, "entry-entry-1")
	is.Equal(pki.KeyPair{Cert: first.TLS.Cert, Key: first.TLS.Key}, certs[0].pair)
}

func TestReloadKeepsValidCredentials(t *testing.T) {
	is := is.New(t)
	command := keysCommand{Agent: []string{"agent-1"}, Days: 1}
	authority, err := command.authority()
	is.NoErr(err)
	certs, err := command.issue(authority)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "agent.yaml")
	write := func(tls settings.TLS) {
		agent := settings.Agent{
			Identity: settings.Identity{Name: "agent-1"}, HTTP: "127.0.0.1:0",
			Entries: []string{"127.0.0.1:7000"}, TLS: tls,
		}
		data, err := yaml.Marshal(settings.File{Agent: &agent})
		is.NoErr(err)
		is.NoErr(os.WriteFile(path, data, keyFileMode))
	}
	valid := settings.TLS{CA: authority.Cert, Cert: certs[0].pair.Cert, Key: certs[0].pair.Key}
	write(valid)
	network, err := transport.NewQUIC(valid)
	is.NoErr(err)
	is.NoErr(reloadTLS(path, network, agentTLS))
	write(settings.TLS{CA: authority.Cert, Cert: "broken", Key: "broken"})
	is.True(reloadTLS(path, network, agentTLS) != nil)
	is.True(reloadTLS(path, network, entryTLS) != nil) // no such section
}

func TestKeysRequireValidNames(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(keysCommand{Days: 1}.Run()), ExitUsage)
	is.Equal(exitCode(keysCommand{Days: 1, Entry: []string{"../x"}}.Run()), ExitUsage)
}
