package team

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against metrics whose number grows with that of the teams, and against
// requests that no metric counts.
func TestUsageNamesTheLargestTeams(t *testing.T) {
	is := is.New(t)
	u := NewUsage()
	for i := range 30 {
		for range i + 1 {
			u.Count(fmt.Sprint("t", i), Outcome(i%3))
		}
	}
	values := make(map[string]int64)
	sum := int64(0)
	u.Report(func(value int64, parts ...string) {
		values[strings.Join(parts, ".")] = value
		sum += value
	})
	is.Equal(len(values), 3*(reportedTeams+1))
	is.Equal(sum, int64(30*31/2))
	is.Equal(values["team.t29.quota_unknown"], int64(30))
	is.Equal(values["teams_other.admitted"], int64(1+4+7+10))
	_, ok := values["team.t9.admitted"]
	is.True(!ok)
}
