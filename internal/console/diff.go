package console

import "strings"

// Line is one line of a diff. Mark is "+" for an added line, "-" for a removed
// one and " " for an unchanged one.
type Line struct {
	Mark string
	Text string
}

// maxCells bounds the size of the table that a diff uses. 4 million cells hold
// two documents of 2,000 differing lines each; the policy of a deployment has
// about 300 lines.
const maxCells = 4 << 20

// diffLines returns a line diff of two texts with a few lines of context.
func diffLines(from, to string) []Line {
	a, b := splitLines(from), splitLines(to)
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA, endB = endA-1, endB-1
	}
	var out []Line
	out = appendLines(out, " ", a[:start])
	out = append(out, diffLCS(a[start:endA], b[start:endB])...)
	out = appendLines(out, " ", a[endA:])
	return trimContext(out)
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(strings.ReplaceAll(text, "\r\n", "\n"), "\n"), "\n")
}

func appendLines(out []Line, mark string, lines []string) []Line {
	for _, l := range lines {
		out = append(out, Line{Mark: mark, Text: l})
	}
	return out
}

// diffLCS computes a diff from the longest common subsequence. If the table
// would be too large, all lines count as replaced.
func diffLCS(a, b []string) []Line {
	if len(a)*len(b) > maxCells {
		return appendLines(appendLines(nil, "-", a), "+", b)
	}
	length := make([][]int32, len(a)+1)
	for i := range length {
		length[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	var out []Line
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, Line{" ", a[i]})
			i, j = i+1, j+1
		case length[i+1][j] >= length[i][j+1]:
			out = append(out, Line{"-", a[i]})
			i++
		default:
			out = append(out, Line{"+", b[j]})
			j++
		}
	}
	return appendLines(appendLines(out, "-", a[i:]), "+", b[j:])
}

// contextLines is the number of unchanged lines shown around a change.
const contextLines = 3

// trimContext replaces unchanged lines that are far from any change by "…".
func trimContext(lines []Line) []Line {
	keep := make([]bool, len(lines))
	for i, l := range lines {
		if l.Mark == " " {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			keep[k] = true
		}
	}
	var out []Line
	for i, l := range lines {
		switch {
		case keep[i]:
			out = append(out, l)
		case i > 0 && keep[i-1]:
			out = append(out, Line{" ", "…"})
		}
	}
	return out
}
