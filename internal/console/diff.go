package console

import "strings"

// Line is one line of a difference. Mark is "+" for an added line, "-" for a
// removed one and " " for one that both documents have.
type Line struct {
	Mark string
	Text string
}

// maxCells bounds the table of a difference. 4 million cells hold two
// documents of 2,000 differing lines; a deployment at today's sizes has 300.
const maxCells = 4 << 20

// diffLines compares two texts line by line and keeps a few lines of context.
func diffLines(from, to string) []Line {
	a, b := linesOf(from), linesOf(to)
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
	out = append(out, diffMiddle(a[start:endA], b[start:endB])...)
	out = appendLines(out, " ", a[endA:])
	return withContext(out)
}

func linesOf(text string) []string {
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

// diffMiddle finds the longest common subsequence; if the table would be too
// large, all lines count as replaced.
func diffMiddle(a, b []string) []Line {
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

// contextLines is how many unchanged lines are shown around a change.
const contextLines = 3

func withContext(lines []Line) []Line {
	near := make([]bool, len(lines))
	for i, l := range lines {
		if l.Mark == " " {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			near[k] = true
		}
	}
	var out []Line
	for i, l := range lines {
		switch {
		case near[i]:
			out = append(out, l)
		case i > 0 && near[i-1]:
			out = append(out, Line{" ", "…"})
		}
	}
	return out
}
