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

// checkedPackages are the packages of an entry on the users' platform, whose log calls must use the constants of this
// package.
var checkedPackages = []string{
	"platform", "toucanforward", "toucanmirror", "toucanpeer", "toucanprobe", "toucangeneration", filepath.Join("toucancmd", "platform"),
}

// TestLogCallsUseNamedConstants checks that no log call has a string literal as its message or as the key of a field.
func TestLogCallsUseNamedConstants(t *testing.T) {
	for _, dir := range checkedPackages {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, dir)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkFile(t, file)
			}
		}
	}
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, file, source, 0)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !isLogCall(call) {
			return true
		}
		for i, arg := range call.Args {
			lit, ok := arg.(*ast.BasicLit)
			isName := i == 0 || i%2 == 1
			assert.Check(t, !ok || !isName, "%s: %s", set.Position(arg.Pos()), literalValue(lit))
		}
		return true
	})
}

// isLogCall reports whether call writes a line to a logger.
func isLogCall(call *ast.CallExpr) bool {
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

func literalValue(l *ast.BasicLit) string {
	if l == nil {
		return ""
	}
	return l.Value
}
