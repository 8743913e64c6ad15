// Package layers checks that imports inside the module follow the layers that
// docs/ARCHITECTURE.md lists.
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

// layers lists the top-level folders from the highest to the lowest. An import
// may only point down, or stay within its folder.
var layers = []string{
	"e2e", "soak", "cmd", "command", "load", "embedded", "standin", "platform", "pool", "entry", "agent", "api", "replica", "plugin",
	"dispatch", "ownership", "membership", "config", "sharedlog", "transport", "telemetry",
	"message", "settings", "validation", "verdict", "kernel",
}

// isolated lists, for the packages that are a library, what they must not
// depend on.
var (
	ioFreePackages = []string{"dispatch", "ownership", "membership", "config", "pool/scheduler", "pool/worker"}
	ioPackages     = []string{"net", "net/http", "os", "os/exec", "github.com/quic-go/quic-go", "github.com/dghubble/sling"}
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
				t.Errorf("%s imports %s, which is not below %s", file.path, imported, from)
			}
		}
	}
	if checked == 0 {
		t.Fatal("no import was checked")
	}
}

func TestLibrariesDoNoInputOrOutput(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if !slices.Contains(ioFreePackages, topFolder(file.path)) && !slices.Contains(ioFreePackages, path.Dir(file.path)) {
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

// sourceFiles parses the imports of all Go files but tests, which may import
// upwards to plug real parts together.
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
