package eventlog

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// parse returns the syntax tree of a Go file.
func parse(t *testing.T, file string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	is.New(t).NoErr(err)
	return f
}

// numbers returns the event number of each constant of core/notice, by
// name.
func numbers(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	ast.Inspect(parse(t, "../core/notice/notice.go"), func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 && fmt.Sprint(v.Type) == "Code" {
			out[v.Names[0].Name] = v.Values[0].(*ast.BasicLit).Value
		}
		return true
	})
	return out
}

// emitted returns, for each event number, the field names that the program
// writes with it, from calls that have notice.Name as an argument.
func emitted(t *testing.T) map[string][]string {
	t.Helper()
	out, number := map[string][]string{}, numbers(t)
	err := filepath.WalkDir("..", func(file string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") ||
			strings.HasPrefix(file, "../core/notice/") {
			return err
		}
		ast.Inspect(parse(t, file), func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if code, ok := codeOf(call, number); ok {
				out[code] = append(out[code], fieldsOf(call)...)
				slices.Sort(out[code])
				out[code] = slices.Compact(out[code])
			}
			return true
		})
		return nil
	})
	is.New(t).NoErr(err)
	return out
}

// codeOf returns the event number that a call has as an argument.
func codeOf(call *ast.CallExpr, number map[string]string) (string, bool) {
	for _, arg := range call.Args {
		s, ok := arg.(*ast.SelectorExpr)
		if !ok {
			continue
		}
		if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "notice" && number[s.Sel.Name] != "" {
			return number[s.Sel.Name], true
		}
	}
	return "", false
}

// fieldsOf returns the keys of the attributes in a call.
func fieldsOf(call *ast.CallExpr) []string {
	var out []string
	if s, ok := call.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Std" {
		out = append(out, "detail")
	}
	for _, arg := range call.Args {
		attr, ok := arg.(*ast.CompositeLit)
		if !ok || len(attr.Elts) == 0 {
			continue
		}
		key := attr.Elts[0]
		if kv, ok := key.(*ast.KeyValueExpr); ok {
			key = kv.Value
		}
		if lit, ok := key.(*ast.BasicLit); ok {
			text, _ := strconv.Unquote(lit.Value)
			out = append(out, text)
		}
	}
	return out
}

func TestEveryEventIsWrittenWithItsFields(t *testing.T) {
	is := is.New(t)
	got := emitted(t)
	entries, fields := catalogue(t)
	is.Equal(len(numbers(t)), len(entries))
	for _, e := range entries {
		names, written := got[e.number]
		if !written {
			t.Errorf("event %s (%s) is never written", e.number, e.text)
		}
		if !slices.Equal(names, fields[e.number]) {
			t.Errorf("event %s (%s) is written with fields %v, the catalogue has %v", e.number, e.text, names, fields[e.number])
		}
	}
}
