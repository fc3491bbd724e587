package mesh

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// fakeStore records the arguments of an append and returns the set result.
type fakeStore struct {
	replica.Store
	offset int64
	err    error
	got    []replica.Record
	at     int64
}

func (s *fakeStore) Append(_ context.Context, _ replica.Stream, at int64, records []replica.Record) (int64, error) {
	s.at, s.got = at, records
	return s.offset, s.err
}

// Guards against an append through another VM that loses its offset or its
// records, and against a conflict that is reported as another error, after which
// the assigner would write again.
func TestAppendThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{offset: 7}
	server := httptest.NewServer(meshpb.NewMeshServer(NewServer(duty.NewClock(), nil, nil, nil, s)))
	defer server.Close()
	peer := NewClient(duty.NewClock()).Peer(roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	records := []replica.Record{{Key: "a", Value: []byte("x")}, {Key: "b", Deleted: true}}
	offset, err := peer.Append(ctx, replica.Owners, 5, records)
	is.NoErr(err)
	is.Equal(offset, int64(7))
	is.Equal(s.at, int64(5))
	is.Equal(len(s.got), 2)
	is.Equal(string(s.got[0].Value), "x")
	is.True(s.got[1].Deleted)

	s.err = replica.ErrConflict
	_, err = peer.Append(ctx, replica.Owners, 5, records)
	is.True(errors.Is(err, replica.ErrConflict))

	s.err = errors.New("unavailable")
	_, err = peer.Append(ctx, replica.Owners, 5, records)
	is.True(err != nil && !errors.Is(err, replica.ErrConflict))
}
