package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// wellKnownMethods need no doc comment: an interface of the standard library defines them.
var wellKnownMethods = []string{"Error", "Is", "Unwrap", "String", "Read", "Write", "Close", "ServeHTTP",
	"Len", "Less", "Swap", "Push", "Pop", "MarshalJSON", "UnmarshalJSON", "MarshalText", "UnmarshalText"}

// checkDocs finds the packages without a package comment and the exported items without a doc comment in the Go files
// below root, except in tests and generated files.
func checkDocs(root string) ([]finding, error) {
	packages := map[string]*packageDocs{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); path != root && (strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") || name == "testdata") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		directory := filepath.ToSlash(filepath.Dir(relative))
		if packages[directory] == nil {
			packages[directory] = &packageDocs{directory: directory}
		}
		return packages[directory].addFile(path, relative)
	})
	if err != nil {
		return nil, err
	}
	var findings []finding
	for _, p := range packages {
		findings = append(findings, p.result()...)
	}
	slices.SortFunc(findings, func(a, b finding) int { return strings.Compare(a.Text, b.Text) })
	return findings, nil
}

// packageDocs collects the findings in the files of one directory.
type packageDocs struct {
	directory  string
	firstFile  string
	documented bool // whether a file has a package comment
	findings   []finding
}

// addFile parses the file at path and checks its declarations. Findings use its relative name.
func (p *packageDocs) addFile(path, relative string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	if p.firstFile == "" {
		p.firstFile = relative
	}
	p.documented = p.documented || hasText(file.Doc)
	if ast.IsGenerated(file) || file.Name.Name == "main" { // nobody imports a command
		return nil
	}
	for _, declaration := range file.Decls {
		for _, name := range undocumented(declaration) {
			line := files.Position(name.Pos()).Line
			p.add(fmt.Sprintf("%s:%d: exported %s has no doc comment", relative, line, name.Name))
		}
	}
	return nil
}

func (p *packageDocs) add(text string) {
	p.findings = append(p.findings, finding{Package: p.directory, Check: docComments, Text: text})
}

func (p *packageDocs) result() []finding {
	if !p.documented {
		p.add(fmt.Sprintf("%s:1: the package has no package comment", p.firstFile))
	}
	return p.findings
}

// undocumented returns the exported names that a declaration declares without a doc comment.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && !hasText(d.Doc) && !exemptMethod(d) {
			return []*ast.Ident{d.Name}
		}
	case *ast.GenDecl:
		return undocumentedSpecs(d)
	}
	return nil
}

// undocumentedSpecs checks the types, constants and variables of one declaration. A comment on a group is enough for its
// constants and variables, as is one at the end of their line.
func undocumentedSpecs(declaration *ast.GenDecl) []*ast.Ident {
	var names []*ast.Ident
	for _, spec := range declaration.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			alone := !declaration.Lparen.IsValid() && hasText(declaration.Doc)
			if s.Name.IsExported() && !alone && !hasText(s.Doc) && !hasText(s.Comment) {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			if hasText(declaration.Doc) || hasText(s.Doc) || hasText(s.Comment) {
				continue
			}
			for _, name := range s.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// exemptMethod reports whether a function is a well-known method or one of a type that is not exported.
func exemptMethod(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	return slices.Contains(wellKnownMethods, function.Name.Name) || !receiverExported(function.Recv.List[0].Type)
}

// receiverExported reports whether the type of a receiver, as *T, T or T[P], is exported.
func receiverExported(receiver ast.Expr) bool {
	switch r := receiver.(type) {
	case *ast.StarExpr:
		return receiverExported(r.X)
	case *ast.ParenExpr:
		return receiverExported(r.X)
	case *ast.IndexExpr:
		return receiverExported(r.X)
	case *ast.IndexListExpr:
		return receiverExported(r.X)
	case *ast.Ident:
		return r.IsExported()
	}
	return false
}

func hasText(comment *ast.CommentGroup) bool {
	return comment != nil && strings.TrimSpace(comment.Text()) != ""
}
