// Package layers checks that imports inside the module follow the layers that
// docs/ARCHITECTURE.md lists, that platform names stay in their folders and that
// exported items are documented.
package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "marjoramlug.example/marjoramlug/"

// layers lists the top-level folders from the highest to the lowest layer. A
// package may import only packages of lower layers or of its own folder.
var layers = []string{
	"e2e", "soak", "crowd", "cmd", "command", "load", "embedded", "emulator", "standin", "platform", "pool", "entry", "agent", "api", "replica", "plugin",
	"dispatch", "ownership", "membership", "config", "sharedlog", "transport", "intake", "telemetry",
	"message", "settings", "validation", "verdict", "kernel",
}

var (
	// libraries may not import any of ioPackages.
	libraries = []string{
		"dispatch", "ownership", "membership", "config", "pool/scheduler", "pool/executor", "pool/evacuation", "pool/fairness",
		"pool/reservation",
	}
	ioPackages = []string{"net", "net/http", "os", "os/exec", "github.com/quic-go/quic-go", "github.com/dghubble/sling"}
)

func TestImportsPointDown(t *testing.T) {
	checked := 0
	for _, file := range sourceFiles(t) {
		from := topFolder(file.path)
		rank := slices.Index(layers, from)
		if rank < 0 {
			if from != "internal" {
				t.Errorf("%s: folder %s has no layer", file.path, from)
			}
			continue
		}
		for _, imported := range file.imports {
			rest, ok := strings.CutPrefix(imported, module)
			if !ok {
				continue
			}
			checked++
			to := topFolder(rest)
			if to != from && slices.Index(layers, to) <= rank {
				t.Errorf("%s imports %s, which is not in a lower layer than %s", file.path, imported, from)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no import was checked")
	}
}

func TestLibrariesDoNoInputOrOutput(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if !slices.Contains(libraries, topFolder(file.path)) && !slices.Contains(libraries, path.Dir(file.path)) {
			continue
		}
		for _, imported := range file.imports {
			if slices.Contains(ioPackages, imported) {
				t.Errorf("%s imports %s", file.path, imported)
			}
		}
	}
}

type sourceFile struct {
	path    string
	imports []string
}

// sourceFiles parses the imports of all Go files except tests. Tests may import
// higher layers to connect real components.
func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	root := filepath.Join("..", "..")
	var files []sourceFile
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		file := sourceFile{path: filepath.ToSlash(rel)}
		for _, spec := range parsed.Imports {
			file.imports = append(file.imports, strings.Trim(spec.Path.Value, `"`))
		}
		files = append(files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func topFolder(path string) string {
	top, _, _ := strings.Cut(path, "/")
	return top
}
