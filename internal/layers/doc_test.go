package layers

import (
	"go/ast"
	"go/doc"
	"go/parser"
	"go/token"
	"path/filepath"
	"testing"
)

// TestExportedItemsAreDocumented requires a doc comment on each package and each
// exported type, function, method, constant and variable.
func TestExportedItemsAreDocumented(t *testing.T) {
	byFolder := map[string][]*ast.File{}
	files := token.NewFileSet()
	for _, source := range sourceFiles(t) {
		file, err := parser.ParseFile(files, filepath.Join("..", "..", source.path), nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		folder := filepath.Dir(source.path)
		byFolder[folder] = append(byFolder[folder], file)
	}
	for folder, list := range byFolder {
		pkg, err := doc.NewFromFiles(files, list, module+folder)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range undocumented(pkg) {
			t.Errorf("%s: %s has no doc comment", folder, item)
		}
	}
}

// undocumented returns the names of the exported items of pkg that lack a doc
// comment.
func undocumented(pkg *doc.Package) []string {
	var missing []string
	require := func(name, text string) {
		if text == "" {
			missing = append(missing, name)
		}
	}
	require("the package", pkg.Doc)
	values := append(pkg.Consts, pkg.Vars...)
	functions := pkg.Funcs
	for _, typ := range pkg.Types {
		require(typ.Name, typ.Doc)
		values = append(append(values, typ.Consts...), typ.Vars...)
		functions = append(append(functions, typ.Funcs...), typ.Methods...)
	}
	for _, v := range values {
		for _, spec := range v.Decl.Specs {
			value := spec.(*ast.ValueSpec)
			require(value.Names[0].Name, v.Doc+value.Doc.Text()+value.Comment.Text())
		}
	}
	for _, f := range functions {
		require(f.Name, f.Doc)
	}
	return missing
}
