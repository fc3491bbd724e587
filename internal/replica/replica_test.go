package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
)

const start = core.Instant(time.Hour)

func record(key string, offset int64) Record {
	return Record{Key: key, Offset: offset, Value: []byte(key)}
}

// Guards against a copy that reverts to an older state when a delayed response
// arrives.
func TestCopyIsMonotonic(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	is.Equal(len(c.Apply(Batch{Stream: Config, Records: []Record{record("a", 5)}, Next: 6, AsOf: start})), 1)
	is.Equal(len(c.Apply(Batch{Stream: Config, Records: []Record{record("a", 3)}, Next: 4, AsOf: start.Add(time.Second)})), 0)
	is.Equal(c.Next(Config), int64(6))
	asOf, _ := c.AsOf(Config)
	is.Equal(asOf, start) // an older state says nothing about the age of the newer one
}

// Guards against keys that stay in the copy, or in that of a follower, when the
// store has expired their deletion and only a complete read shows that they are
// gone.
func TestCompleteBatchDeletesMissingKeys(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	c.Apply(Batch{Stream: Targets, Records: []Record{record("a", 1), record("b", 2)}, Next: 3, AsOf: start})
	changed := c.Apply(Batch{Stream: Targets, Records: []Record{record("b", 2)}, Next: 9, Complete: true, AsOf: start})
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	since := c.Since(Targets, 3)
	is.Equal(len(since), 1)
	is.True(since[0].Deleted)
}

// Guards against a record that a restored store assigned a known offset, and that is
// skipped for it; and against keys that are deleted before operators and targets
// can have written again what the store lost, or that are never deleted.
func TestCopyFollowsARestoredStore(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	at := func(era, index int64, key string) Record { return record(key, NewOffset(era, index)) }
	c.Apply(Batch{Stream: Config, Records: []Record{at(1, 0, "a"), at(1, 3, "b")}, Next: NewOffset(1, 4), AsOf: start})
	now := start.Add(time.Minute)
	changed := c.Apply(Batch{Stream: Config, Records: []Record{at(2, 0, "a")}, Next: NewOffset(2, 1), Complete: true, AsOf: now})
	is.Equal(len(changed), 1) // b isn't deleted
	is.Equal(len(c.Since(Config, NewOffset(1, 1))), 2)
	asOf, _ := c.AsOf(Config)
	is.Equal(asOf, now)
	changed = c.Apply(Batch{Stream: Config, Records: []Record{at(2, 1, "a")}, Next: NewOffset(2, 2), AsOf: now})
	is.Equal(len(changed), 1) // written at an index that was known in the first era
	is.Equal(len(c.Apply(Batch{Stream: Config, Records: []Record{at(1, 9, "a")}, Next: NewOffset(1, 10), AsOf: now})), 0)
	changed = c.Apply(Batch{Stream: Config, Records: []Record{at(2, 1, "a")}, Next: NewOffset(2, 2), Complete: true, AsOf: now.Add(rewriteTime)})
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted && changed[0].Key == "b")
}

// fetchAll applies an empty batch of each stream.
func fetchAll(r *Replica, at core.Instant, source string) []Output {
	var out []Output
	for s := range NumStreams {
		out = append(out, r.Step(at, Fetched{Batch: Batch{Stream: s, Next: 1, AsOf: at, Source: source}})...)
	}
	return out
}

// lastOutput returns the last output of a type.
func lastOutput[T Output](out []Output) (T, bool) {
	var found T
	ok := false
	for _, o := range out {
		if v, is := o.(T); is {
			found, ok = v, true
		}
	}
	return found, ok
}

// Guards against VMs that were started together and all continue to read the
// store for long.
func TestReadsBrieflyAfterStart(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fetchAll(r, start, fromStore)
	r.Step(start, Elected{Reader: false})
	reading, ok := lastOutput[SetReading](r.Step(start.Add(startReadTime+time.Millisecond), Tick{}))
	is.True(ok && !reading.On)
}

// Guards against all VMs reading the store. A VM that is not elected follows
// others, and reads the store only once its copy has reached directReadAge.
func TestOnlyElectedReadersRead(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fetchAll(r, start, fromStore)
	now := start.Add(directReadTime + 100*time.Millisecond)
	fetchAll(r, now, fromStore)
	out := r.Step(now, Elected{Reader: false})
	reading, ok := lastOutput[SetReading](out)
	is.True(ok && !reading.On)
	following, ok := lastOutput[SetFollowing](out)
	is.True(ok && following.On)
	is.Equal(len(r.Step(now.Add(staleAge[Owners]+100*time.Millisecond), Tick{})), 0)
	reading, ok = lastOutput[SetReading](r.Step(now.Add(directReadAge+100*time.Millisecond), Tick{}))
	is.True(ok && reading.On && !reading.Eager)
}

// Guards against a reader that cannot reach the store and follows others only
// once its copy is stale, which delayed evacuations and configuration changes
// (macky-brana trouble-1), or that stops following after the first reply.
func TestReaderFollowsWhileStoreUnreachable(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fetchAll(r, start, fromStore)
	following, ok := lastOutput[SetFollowing](r.Step(start.Add(100*time.Millisecond), ReadFailed{}))
	is.True(ok && following.On)
	_, changed := lastOutput[SetFollowing](fetchAll(r, start.Add(200*time.Millisecond), "v2"))
	is.True(!changed) // a batch from a peer doesn't end it
	following, ok = lastOutput[SetFollowing](fetchAll(r, start.Add(300*time.Millisecond), fromStore))
	is.True(ok && !following.On)
}

// Guards against followers of a VM that itself only follows: two VMs that
// followed each other considered both copies fresh.
func TestReplyStatesWhetherSourceReadsStore(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fetchAll(r, start, fromStore)
	reply := make(chan SyncReply, 1)
	request := SyncRequest{Have: []Position{{Stream: Config, Next: 0}}, Until: start.Add(time.Second), Reply: reply}
	sent, ok := lastOutput[SendReply](r.Step(start, request))
	is.True(ok && sent.Reply.Direct)
	r.Step(start, ReadFailed{})
	sent, ok = lastOutput[SendReply](r.Step(start, request))
	is.True(ok && !sent.Reply.Direct)
}

// Guards against a follower's request that gets a reply at once although there
// are no new records, or that never gets one.
func TestSyncWaitsForNewRecords(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fetchAll(r, start, fromStore)
	request := SyncRequest{Have: []Position{{Stream: Config, Next: 1}}, Until: start.Add(time.Second), Reply: make(chan SyncReply, 1)}
	_, replied := lastOutput[SendReply](r.Step(start, request))
	is.True(!replied)
	out := r.Step(start.Add(100*time.Millisecond), Fetched{Batch: Batch{Stream: Config, Records: []Record{record("a", 1)}, Next: 2, AsOf: start}})
	sent, ok := lastOutput[SendReply](out)
	is.True(ok)
	is.Equal(len(sent.Reply.Batches[0].Records), 1)
	r.Step(start, request)
	request.Have[0].Next = 2
	r.Step(start, request)
	_, replied = lastOutput[SendReply](r.Step(start.Add(2*time.Second), Tick{}))
	is.True(replied)
}

// backlogStore holds a stream of which each read returns only a part.
type backlogStore struct {
	Store
	perRead, end int64
}

func (s backlogStore) Read(_ context.Context, _ Stream, from int64, _ time.Duration) ([]Record, int64, int64, error) {
	next := min(from+s.perRead, s.end)
	var out []Record
	for o := from; o < next; o++ {
		out = append(out, record(fmt.Sprint(o), o))
	}
	return out, next, s.end, nil
}

// Guards against a copy that counts as current although later records of a long
// backlog have not been read, as after a partition: the VM then renews grants of
// owners that have lost their keys.
func TestBacklogIsOutOfDateUntilItsEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	out := ring.New[Message]("test", 16, ring.Block)
	clock := func() core.Instant { return start }
	r := NewReaders(backlogStore{perRead: 4, end: 10}, out, clock, logr.Discard())[Owners]
	r.Advance(0)
	c := NewCopy()
	c.Apply(Batch{Stream: Owners, AsOf: start.Add(-5 * time.Second)})
	for reads := 1; reads <= 3; reads++ {
		pause, err := r.read(ctx)
		is.NoErr(err)
		is.Equal(pause, reads == 3)
		c.Apply((<-out.C()).(Fetched).Batch)
		asOf, _ := c.AsOf(Owners)
		is.Equal(asOf == start, reads == 3)
	}
	is.Equal(c.Next(Owners), int64(10))
}

// Guards against a configuration that stays unknown for seconds after the store
// turned away the readers of all failure domains and served the other VMs
// (nrbsa-gateway inc-485b: 2.7 s after its acknowledgement an older version was
// in use).
func TestDeputyReadsWithoutASource(t *testing.T) {
	for _, deputy := range []bool{true, false} {
		is := is.New(t)
		r := New()
		r.Step(start, Tick{})
		fetchAll(r, start, fromStore)
		now := start.Add(startReadTime + time.Millisecond)
		r.Step(now, Elected{Deputy: deputy})
		fetchAll(r, now, "v2")
		now = now.Add(700 * time.Millisecond)
		reading, changed := lastOutput[SetReading](r.Step(now, NoSource{}))
		is.Equal(changed && reading.On, deputy)
		if !deputy {
			continue
		}
		is.True(!reading.Eager)
		now = now.Add(directReadTime)
		fetchAll(r, now.Add(-time.Second), "v2")
		reading, changed = lastOutput[SetReading](r.Step(now, Tick{}))
		is.True(changed && !reading.On) // a usable source was found again
	}
}

// unusablePeer has a fresh copy until it no longer reads the store itself.
type unusablePeer struct{ direct *atomic.Bool }

func (p unusablePeer) Name() core.VM { return "v2" }

func (p unusablePeer) Sync(context.Context, []Position, time.Duration) (SyncReply, error) {
	return SyncReply{Direct: p.direct.Load(), Batches: []Batch{{Stream: Config, AsOf: start}}}, nil
}

// Guards against a follower that does not report that no source is left, and
// against one that reports it while it looks for its first source after a start.
func TestFollowerReportsThatNoSourceIsLeft(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	out := ring.New[Message]("test", 1024, ring.Block)
	peer := unusablePeer{direct: &atomic.Bool{}}
	f := NewFollower(func(int) (Peer, int) { return peer, 1 }, out, func() core.Instant { return start }, logr.Discard())
	f.SetEnabled(true)
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	next := func() Message {
		select {
		case m := <-out.C():
			return m
		case <-time.After(10 * time.Second):
			t.Fatal("no message")
			return nil
		}
	}
	for range 3 {
		_, fetched := next().(Fetched) // rounds without a source after the start
		is.True(fetched)
	}
	peer.direct.Store(true)
	time.Sleep(2 * roundPause)
	peer.direct.Store(false)
	for {
		if _, ok := next().(NoSource); ok {
			break
		}
	}
	cancel()
	<-ended
}

// Guards against a source that keeps its followers waiting although it has lost
// the store or one of its streams is out of date.
func TestUnusableSourceRepliesAtOnce(t *testing.T) {
	request := SyncRequest{Have: []Position{{Stream: Config, Next: 1}}, Until: start.Add(time.Hour), Reply: make(chan SyncReply, 1)}
	for s := range NumStreams {
		is := is.New(t)
		r := New()
		r.Step(start, Tick{})
		fetchAll(r, start, fromStore)
		at := start.Add(staleAge[s])
		for other := range NumStreams {
			if other != s {
				r.Step(start, Fetched{Batch: Batch{Stream: other, Next: 1, AsOf: at, Source: fromStore}})
			}
		}
		_, replied := lastOutput[SendReply](r.Step(at.Add(-time.Millisecond), request))
		is.True(!replied)
		sent, replied := lastOutput[SendReply](r.Step(at, Tick{}))
		is.True(replied && !sent.Reply.Direct)
	}
}

// expiredStore has no records before an offset.
type expiredStore struct {
	Store
	retained int64
	complete chan struct{}
}

func (s expiredStore) Newest(context.Context, Stream) ([]Record, int64, error) {
	s.complete <- struct{}{}
	return []Record{record("a", s.retained-1)}, s.retained, nil
}

func (s expiredStore) Read(ctx context.Context, _ Stream, from int64, wait time.Duration) ([]Record, int64, int64, error) {
	if from < s.retained {
		return nil, 0, 0, ErrExpired
	}
	duty.Sleep(ctx, wait)
	return nil, from, from, nil
}

// Guards against a reader behind the oldest retained record that makes no complete
// read while another source repeats the same position.
func TestExpiredPositionIsReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := expiredStore{retained: 100, complete: make(chan struct{}, 100)}
		r := NewReaders(store, ring.New[Message]("test", 1024, ring.Block), duty.NewClock(), logr.Discard())[Config]
		r.Advance(50)
		r.SetEnabled(true, false)
		go r.Run(ctx)
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			r.Advance(50)
		}
		cancel()
		time.Sleep(time.Minute) // the reader ends
		is.Equal(len(store.complete), 1)
	})
}
