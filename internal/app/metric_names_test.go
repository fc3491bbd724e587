package app

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const metricNamesFile = "testdata/metric_names.txt"

var updateMetricNames = flag.Bool("update-metric-names", false, "write "+metricNamesFile+" from the source")

// Guards against a metric or span whose name changes when an identifier is
// renamed: operators' dashboards and alerts use these names. The file lists the
// names of messages and outputs, and the literal parts of all other names with
// "*" for each part that is known only at run time.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	var names []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			names = append(names, namesIn(file.Name.Name, n)...)
			return true
		})
		return nil
	})
	is.NoErr(err)
	slices.Sort(names)
	got := strings.Join(slices.Compact(names), "\n") + "\n"
	if *updateMetricNames {
		is.NoErr(os.WriteFile(metricNamesFile, []byte(got), 0o600))
	}
	want, err := os.ReadFile(metricNamesFile)
	is.NoErr(err)
	is.Equal(strings.Split(got, "\n"), strings.Split(string(want), "\n"))
}

// namesIn returns the names of metrics and spans in a syntax node of a package.
func namesIn(pkg string, n ast.Node) []string {
	switch n := n.(type) {
	case *ast.FuncDecl:
		if n.Name.Name != "MetricName" || n.Body == nil {
			return nil
		}
		result, ok := n.Body.List[0].(*ast.ReturnStmt)
		if !ok {
			return nil
		}
		return []string{"type " + pkg + " " + literal(result.Results[0])}
	case *ast.CallExpr:
		f, ok := n.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains([]string{"Count", "Counter", "Latency", "Gauge", "Start"}, f.Sel.Name) {
			return nil
		}
		var parts []string
		known := false
		for _, arg := range n.Args {
			part := literal(arg)
			parts = append(parts, part)
			known = known || part != "*"
		}
		if known {
			return []string{"call " + f.Sel.Name + " " + strings.Join(parts, " ")}
		}
	}
	return nil
}

// literal returns the text of a string literal and "*" for anything else.
func literal(e ast.Expr) string {
	if l, ok := e.(*ast.BasicLit); ok && l.Kind == token.STRING {
		if text, err := strconv.Unquote(l.Value); err == nil {
			return text
		}
	}
	return "*"
}
