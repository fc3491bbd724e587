package mesh

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/team"
)

// Guards against permits that are lost or changed on their way between two VMs, and
// against more permits than were asked for.
func TestQuotaBetweenVMs(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	account := ring.New[team.Message]("account", 16, ring.Block)
	server := httptest.NewServer(meshpb.NewMeshServer(NewServer(duty.NewClock(), nil, nil, nil, nil, nil).ServeQuotas(account)))
	defer server.Close()
	to := roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(duty.NewClock())
	items := []team.AskItem{
		{Team: "a", Version: 3, Rate: 7.5, Burst: 2, Needed: 4, Extra: 5, Returns: []team.Return{{Issue: team.Issue{Term: 9, At: 1 << 50}, Count: 6}}},
		{Team: "b", Version: 1 << 40},
	}
	for _, c := range []struct {
		reply team.AskReply
		ok    bool
	}{
		{team.AskReply{Closed: true}, true},
		{team.AskReply{Items: []team.Issued{{Count: 9, Issue: team.Issue{Term: 1 << 41, At: 5}, RetryAfter: 1500 * time.Microsecond}, {}}}, true},
		{team.AskReply{Items: []team.Issued{{Count: 10}, {}}}, false},
	} {
		go func() {
			ask := (<-account.C()).(team.Ask)
			is.Equal(ask.Items, items)
			is.Equal(ask.VMs, 79)
			ask.Reply <- c.reply
		}()
		reply, err := client.Quota(ctx, to, items, 79)
		is.Equal(err == nil, c.ok)
		if c.ok {
			is.Equal(reply, c.reply)
		}
	}
}

// Guards against a call that ends the process: without an account, or with a quota that
// isn't a number.
func TestOddQuotaCalls(t *testing.T) {
	is := is.New(t)
	s := NewServer(duty.NewClock(), nil, nil, nil, nil, nil)
	_, err := s.Quota(context.Background(), &meshpb.QuotaRequest{})
	is.True(err != nil)
	s.ServeQuotas(ring.New[team.Message]("account", 16, ring.Block))
	nan := 0.0
	nan /= nan
	for _, item := range []*meshpb.QuotaItem{{PerSecond: nan}, {PerSecond: -1}, {Burst: -1}, {PerSecond: 1e308, Burst: 1e308}, {Needed: 1 << 31}, {Extra: 1 << 31}} {
		_, err := s.Quota(context.Background(), &meshpb.QuotaRequest{Items: []*meshpb.QuotaItem{item}})
		is.True(err != nil)
	}
}
