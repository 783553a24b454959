package toucanlog

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// writers are the packages of an entry on the users' platform, whose lines have their names from here.
var writers = []string{
	"platform", "toucanforward", "toucanmirror", "toucanpeer", "toucanprobe", "toucanrun", filepath.Join("toucancmd", "platform"),
}

// TestNamesStayHere checks that no log line has a message or a field that is spelled where it is written.
func TestNamesStayHere(t *testing.T) {
	for _, dir := range writers {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, dir)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkNames(t, file)
			}
		}
	}
}

func checkNames(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, file, source, 0)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !logs(call) {
			return true
		}
		for i, arg := range call.Args {
			spelled, ok := arg.(*ast.BasicLit)
			named := i == 0 || i%2 == 1
			assert.Check(t, !ok || !named, "%s: %s", set.Position(arg.Pos()), literal(spelled))
		}
		return true
	})
}

// logs reports whether a call writes a line to a logger.
func logs(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
	default:
		return false
	}
	switch logger := method.X.(type) {
	case *ast.Ident:
		return logger.Name == "log"
	case *ast.SelectorExpr:
		return logger.Sel.Name == "log"
	}
	return false
}

func literal(l *ast.BasicLit) string {
	if l == nil {
		return ""
	}
	return l.Value
}
