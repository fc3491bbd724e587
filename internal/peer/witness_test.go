package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
	"celeryhook.example/celeryhook/internal/witness"
)

// Guards against a field of a request record that isn't converted between VMs.
func TestRememberAndRecallCarryEverything(t *testing.T) {
	is := is.New(t)
	token := core.Token{Term: 3, Rank: 1, Seq: 9}
	record := witness.Record{
		ID: "x", Range: core.RangeID{Service: "s", Number: 4, HotKey: 5}, Digest: 6, State: witness.StateDone,
		Response: &witness.Response{Status: 201, Header: http.Header{"A": {"1", "2"}}, Body: []byte("body")},
		Age:      7 * time.Second,
	}
	marker := witness.Record{Range: core.RangeID{Service: "s", Number: 4}}
	batch := witness.Batch{
		Front: "vm", Target: "t", Token: token, Records: []witness.Record{record, marker},
		Reset: true, Complete: true, RampLimit: 2, Incarnation: 8,
	}
	reply := witness.RecallReply{Complete: true, Records: []witness.Record{record}, RampLimit: 2, Incarnation: 8}
	request := witness.RecallRequest{Target: "t", Ranges: []core.RangeID{record.Range}, Since: token}
	server := NewServer(Handlers{
		Remember: func(_ context.Context, got witness.Batch) (witness.RememberReply, error) {
			is.Equal(got, batch)
			return witness.RememberReply{Stored: true, Complete: true}, nil
		},
		Recall: func(_ context.Context, got witness.RecallRequest) (witness.RecallReply, error) {
			is.Equal(got, request)
			return reply, nil
		},
	}, nil, duty.NewClock(), nil)
	h := httptest.NewServer(peerpb.NewPeerServer(server))
	defer h.Close()
	client := NewClient(h.Client(), duty.NewClock(), nil)
	stored, err := client.Remember(t.Context(), h.Listener.Addr().String(), batch)
	is.NoErr(err)
	is.Equal(stored, witness.RememberReply{Stored: true, Complete: true})
	recalled, err := client.Recall(t.Context(), h.Listener.Addr().String(), request)
	is.NoErr(err)
	is.Equal(recalled, reply)
}
