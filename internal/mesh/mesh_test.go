package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
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
	server := httptest.NewServer(meshpb.NewMeshServer(NewServer(duty.NewClock(), nil, nil, nil, nil, s)))
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

// lateMesh replies to a Sync after a delay, as a reply that a partition holds up.
type lateMesh struct {
	meshpb.Mesh
	delay time.Duration
}

func (m lateMesh) Sync(context.Context, *meshpb.SyncRequest) (*meshpb.SyncReply, error) {
	time.Sleep(m.delay)
	return &meshpb.SyncReply{Direct: true, Streams: []*meshpb.StreamState{{Stream: uint32(replica.Owners), End: 3, AgeMs: 100}}}, nil
}

// Guards against a copy that counts as fresh because its reply was delayed: the
// age counts from the end of the wait at the latest, not from the arrival.
func TestDelayedReplyIsNotFresh(t *testing.T) {
	is := is.New(t)
	const wait = 50 * time.Millisecond
	server := httptest.NewServer(meshpb.NewMeshServer(lateMesh{delay: 300 * time.Millisecond}))
	defer server.Close()
	clock := duty.NewClock()
	peer := NewClient(clock).Peer(roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")})
	reply, err := peer.Sync(context.Background(), nil, wait)
	received := clock()
	is.NoErr(err)
	is.True(received.Sub(reply.Batches[0].AsOf) >= 100*time.Millisecond+300*time.Millisecond-wait)
}

// Guards against evidence that is lost or changed on its way between two VMs, and
// against a fingerprint of a wrong length that ends the process.
func TestEvidenceBetweenVMs(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	suspects := ring.New[quarantine.Message]("quarantine", 16, ring.Block)
	server := httptest.NewServer(meshpb.NewMeshServer(NewServer(duty.NewClock(), nil, nil, nil, suspects, nil)))
	defer server.Close()
	to := roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")}
	sent := []quarantine.Evidence{{
		Request: quarantine.NewFingerprint([]byte("a")), Ended: []quarantine.Process{{Target: "t1", StartedAt: 5}, {Target: "t2", StartedAt: 6}},
		Excused: []quarantine.Process{{Target: "t1", StartedAt: 5}}, Age: 1500 * time.Millisecond,
	}}
	client := NewClient(duty.NewClock())
	is.NoErr(client.SendEvidence(ctx, to, sent))
	is.Equal((<-suspects.C()).(quarantine.EvidenceReceived).Evidence, sent)

	go func() {
		m := (<-suspects.C()).(quarantine.Compare)
		m.Reply <- quarantine.CompareReply{Evidence: m.Evidence, Different: m.Digest == 9}
	}()
	reply, err := client.Report(ctx, to, ownership.LoadReport{}, sent, 9)
	is.NoErr(err)
	is.Equal(reply, quarantine.CompareReply{Evidence: sent, Different: true})

	is.Equal(len(evidenceFromPB([]*meshpb.CrashEvidence{{Request: []byte("short")}})), 0)
}

// endlessBody counts the bytes that are read of a body that doesn't end.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a VM whose replies never end: they were read into memory until the
// caller's timeout or its end.
func TestEndlessReplyIsCutOff(t *testing.T) {
	is := is.New(t)
	const endOfTest = 64 << 20
	var taken, status atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(status.Load()))
		for b := make([]byte, 64<<10); taken.Load() < endOfTest; {
			n, err := w.Write(b)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	to := roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient(duty.NewClock())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for name, c := range map[string]struct {
		call  func() error
		limit int64
	}{
		"sync":   {func() error { _, err := client.Peer(to).Sync(ctx, nil, time.Second); return err }, maxCopyBytes},
		"append": {func() error { _, err := client.Peer(to).Append(ctx, replica.Owners, 0, nil); return err }, maxMessageBytes},
		"settle": {func() error { _, err := client.QueryGrants(ctx, to, []ownership.Eviction{{Offset: 1}}); return err }, maxMessageBytes},
		"report": {func() error { return client.SendEvidence(ctx, to, nil) }, maxMessageBytes},
	} {
		for _, code := range []int64{http.StatusOK, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(name, " status ", code), func(t *testing.T) {
				is := is.New(t)
				taken.Store(0)
				status.Store(code)
				is.True(c.call() != nil)
				is.True(taken.Load() < c.limit+16<<20) // the buffers of the sockets
			})
		}
	}
	is.NoErr(ctx.Err())
}

// Guards against a VM whose requests never end: they were read into memory until the
// end of the process that received them.
func TestEndlessRequestIsCutOff(t *testing.T) {
	is := is.New(t)
	h := NewHandler(NewServer(duty.NewClock(), nil, nil, nil, nil, &fakeStore{}))
	for _, method := range []string{"Sync", "Report", "Settle", "Append"} {
		body := &endlessBody{}
		r := httptest.NewRequest(http.MethodPost, meshpb.MeshPathPrefix+method, io.LimitReader(body, 64<<20))
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.True(w.Code >= http.StatusBadRequest)
		is.True(body.read.Load() < 2*maxMessageBytes) // the limit and a read buffer
	}
}

// Guards against a bound that rejects the largest append that the store takes.
func TestLargestAppendThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	const maxCallBytes = 2 << 20
	s := &fakeStore{}
	server := httptest.NewServer(NewHandler(NewServer(duty.NewClock(), nil, nil, nil, nil, s)))
	defer server.Close()
	peer := NewClient(duty.NewClock()).Peer(roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var records []replica.Record
	for range maxCallBytes / 1024 {
		records = append(records, replica.Record{Key: "k", Value: make([]byte, 1024)})
	}
	_, err := peer.Append(ctx, replica.Owners, 5, records)
	is.NoErr(err)
	is.Equal(len(s.got), len(records))
}

// Guards against replies to several questions of one message that are lost or
// assigned to another question.
func TestSeveralGrantsInOneMessage(t *testing.T) {
	is := is.New(t)
	renewer := ring.New[ownership.Message]("renewer", 8, ring.Block)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() {
		for {
			var q ownership.GrantQuery
			select {
			case m := <-renewer.C():
				q = m.(ownership.GrantQuery)
			case <-ctx.Done():
				return
			}
			q.Reply <- ownership.GrantQueryReply{Applied: q.Target != "b", Remaining: time.Duration(q.Offset) * time.Second}
		}
	}()
	server := httptest.NewServer(NewHandler(NewServer(duty.NewClock(), nil, nil, renewer, nil, &fakeStore{})))
	defer server.Close()
	to := roster.Member{VM: "v", Address: strings.TrimPrefix(server.URL, "http://")}
	replies, err := NewClient(duty.NewClock()).QueryGrants(ctx, to, []ownership.Eviction{
		{Holder: ownership.Holder{Target: "a"}, Offset: 1}, {Holder: ownership.Holder{Target: "b"}, Offset: 2}, {Holder: ownership.Holder{Target: "c"}, Offset: 3},
	})
	is.NoErr(err)
	is.Equal(len(replies), 3)
	for i, r := range replies {
		is.Equal(r.Remaining, time.Duration(i+1)*time.Second)
		is.Equal(r.Applied, i != 1)
	}
}
