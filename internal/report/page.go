package report

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Page is the content of an HTML page.
type Page struct {
	Title  string
	Notes  []string
	Charts []Chart
	Tables []Table
}

// Chart plots one or more series as bars, or as lines if Line is set.
type Chart struct {
	Title  string
	Series []string
	Line   bool
	Bars   []Bar
}

// Bar is a labelled group of values, one for each series. In a line chart, it
// is a position on the horizontal axis.
type Bar struct {
	Label  string
	Values []float64
}

// Table has a header row and data rows.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Sizes in pixels.
const (
	chartWidth      = 900
	lineChartHeight = 240
	barHeight       = 14
	labelWidth      = 320
	valueMargin     = 60
)

var seriesColors = []string{"#2b6cb0", "#c05621", "#718096"}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"svg": chartSVG, "color": seriesColor}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:960px}text{font:11px sans-serif}td,th{padding:2px 12px;text-align:left}</style>
</head><body><h1>{{.Title}}</h1>
{{range .Notes}}<p>{{.}}</p>{{end}}
{{range .Charts}}<h2>{{.Title}}</h2><p>{{range $i, $s := .Series}}<span style="color:{{color $i}}">&#9632; {{$s}}</span> {{end}}</p>{{svg .}}{{end}}
{{range .Tables}}<h2>{{.Title}}</h2><table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
</body></html>
`))

// Write writes the page as self-contained HTML.
func (p *Page) Write(w io.Writer) error {
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func seriesColor(i int) string { return seriesColors[i%len(seriesColors)] }

func chartSVG(c Chart) template.HTML {
	maxValue := 0.0
	for _, b := range c.Bars {
		for _, v := range b.Values {
			maxValue = max(maxValue, v)
		}
	}
	if maxValue == 0 || len(c.Bars) == 0 {
		return "<p>no data</p>"
	}
	if c.Line {
		return lineChartSVG(c, maxValue)
	}
	return barChartSVG(c, maxValue)
}

func barChartSVG(c Chart, maxValue float64) template.HTML {
	var b strings.Builder
	y := 0
	for _, bar := range c.Bars {
		fmt.Fprintf(&b, `<text x="0" y="%d">%s</text>`, y+barHeight-3, template.HTMLEscapeString(bar.Label))
		for i, v := range bar.Values {
			width := max(v, 0) / maxValue * (chartWidth - labelWidth - valueMargin)
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`, labelWidth, y+1, width, barHeight-2, seriesColor(i))
			fmt.Fprintf(&b, `<text x="%.1f" y="%d">%.3f</text>`, labelWidth+width+4, y+barHeight-3, v)
			y += barHeight
		}
		y += barHeight / 2
	}
	return template.HTML(fmt.Sprintf(`<svg width="%d" height="%d">%s</svg>`, chartWidth, y, b.String()))
}

func lineChartSVG(c Chart, maxValue float64) template.HTML {
	var b strings.Builder
	step := float64(chartWidth-valueMargin) / float64(max(len(c.Bars)-1, 1))
	for i := range c.Series {
		var points []string
		for n, bar := range c.Bars {
			points = append(points, fmt.Sprintf("%.1f,%.1f", valueMargin+float64(n)*step, lineChartHeight*(1-bar.Values[i]/maxValue)))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`, seriesColor(i), strings.Join(points, " "))
	}
	first, last := c.Bars[0].Label, c.Bars[len(c.Bars)-1].Label
	fmt.Fprintf(&b, `<text x="0" y="12">%.0f</text><text x="0" y="%d">0</text>`, maxValue, lineChartHeight)
	fmt.Fprintf(&b, `<text x="%d" y="%d">%s</text><text x="%d" y="%d" text-anchor="end">%s</text>`, valueMargin, lineChartHeight+16,
		template.HTMLEscapeString(first), chartWidth, lineChartHeight+16, template.HTMLEscapeString(last))
	return template.HTML(fmt.Sprintf(`<svg width="%d" height="%d">%s</svg>`, chartWidth, lineChartHeight+20, b.String()))
}
