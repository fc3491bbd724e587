package policy

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse measures how the size of a document and the time to parse it
// grow with the number of targets. docs/CAPACITY.md uses the slope.
func BenchmarkParse(b *testing.B) {
	for _, targets := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			var d strings.Builder
			d.WriteString("[deployment]\nname = d\nfailure_domains = d1\n[service s]\ndivision = key\n[route r]\npath = /s/{k}\nservice = s\nkey = path:k\n")
			for i := range targets {
				fmt.Fprintf(&d, "[target s-%05d]\nservice = s\nfailure_domain = d1\naddress = 10.%d.%d.1:8080\nslots = 6\nconnections = 100\n", i, i/250, i%250)
			}
			document := []byte(d.String())
			for b.Loop() {
				if _, err := Parse(document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "document-B")
		})
	}
}
