package inbound

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crowd that displaces ordinary clients: by heads that are held open,
// by large ones, or by connections without a request.
func TestSelect(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	busy := View{Phase: Busy, Since: ago(time.Minute)}
	kept, keptLonger := View{Phase: Kept, Since: ago(time.Second)}, View{Phase: Kept, Since: ago(2 * time.Second)}
	justUsed, justOpened := View{Phase: Kept, Since: ago(MinIdleTime - 1)}, View{Phase: Fresh, Since: ago(MinIdleTime - 1)}
	fresh := View{Phase: Fresh, Since: ago(MinIdleTime)}
	slow, large := View{Phase: Reading, Since: ago(time.Second), HeadBytes: 100}, View{Phase: Reading, Since: ago(time.Millisecond), HeadBytes: 9000}
	for name, c := range map[string]struct {
		need  Need
		conns map[string]View
		want  string
	}{
		"none":                            {Connection, nil, ""},
		"requests in progress stay":       {Memory, map[string]View{"busy": busy}, ""},
		"a request may be on its way":     {Connection, map[string]View{"used": justUsed, "opened": justOpened}, ""},
		"idle for longest":                {Connection, map[string]View{"kept": kept, "longer": keptLonger}, "longer"},
		"without a request before others": {Connection, map[string]View{"longer": keptLonger, "fresh": fresh}, "fresh"},
		"heads before idle connections":   {Connection, map[string]View{"longer": keptLonger, "fresh": fresh, "large": large}, "large"},
		"slowest head":                    {Connection, map[string]View{"slow": slow, "large": large, "busy": busy}, "slow"},
		"largest head":                    {Memory, map[string]View{"slow": slow, "large": large, "busy": busy}, "large"},
		"idle ones hold little memory":    {Memory, map[string]View{"kept": kept, "fresh": fresh, "busy": busy}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, view, found := Select(maps.All(c.conns), c.need, now)
			is.Equal(got, c.want)
			is.Equal(view, c.conns[c.want])
			is.Equal(found, c.want != "")
		})
	}
}
