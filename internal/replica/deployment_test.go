package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
)

const (
	// configApply is the time in which a change has to be known to all VMs after its
	// acknowledgement (configApply and drain of the users' bounds).
	configApply = 2 * time.Second
	// storeLatency and peerLatency are the round-trip times of calls.
	storeLatency = 6 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	// leaseInterval is how often the leader writes to Owners.
	leaseInterval = 1100 * time.Millisecond
	// registrationInterval is how often a target writes to Targets.
	registrationInterval = 700 * time.Millisecond
)

// response is how the store responds to the calls of a VM for a stream.
type response uint8

const (
	served response = iota
	// turnedAway calls are rejected at once. Calls that are held already are served.
	turnedAway
	// unanswered calls get no response, also those that are held already.
	unanswered
)

// sharedStore is the store of a deployment.
type sharedStore struct {
	mu      sync.Mutex
	records [NumStreams][]Record
	// retained is the offset of the first record that reads return.
	retained [NumStreams]int64
	// era rises when records are lost.
	era       int64
	changed   chan struct{}
	responses map[core.VM]*[NumStreams]response
	calls     int
}

func (s *sharedStore) append(stream Stream, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := NewOffset(s.era, int64(len(s.records[stream])))
	s.records[stream] = append(s.records[stream], Record{Key: "key", Value: []byte(value), Offset: offset})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// lose restores the store from a copy that lacks the last records of each stream.
func (s *sharedStore) lose(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for i, records := range s.records {
		kept := slices.Clone(records[:max(0, len(records)-count)])
		for j := range kept {
			kept[j].Offset = NewOffset(s.era, int64(j))
		}
		s.records[i], s.retained[i] = kept, min(s.retained[i], int64(len(kept)))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget appends a change and drops the history up to and including it. Reads that
// are held already notice it when their wait ends.
func (s *sharedStore) forget(stream Stream, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := NewOffset(s.era, int64(len(s.records[stream])))
	s.records[stream] = append(s.records[stream], Record{Key: "key", Value: []byte(value), Offset: offset})
	s.retained[stream] = Index(offset) + 1
	return offset
}

func (s *sharedStore) setResponse(vm core.VM, r response, streams ...Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range streams {
		s.responses[vm][stream] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// from returns the records of a stream from an offset on and a channel that is
// closed when the store changes.
func (s *sharedStore) from(stream Stream, offset int64) ([]Record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch end := int64(len(s.records[stream])); {
	case Index(offset) < s.retained[stream] || Index(offset) > end:
		return nil, nil, ErrExpired
	case Era(offset) != s.era:
		return nil, nil, ErrEraChanged
	}
	return append([]Record(nil), s.records[stream][Index(offset):]...), s.changed, nil
}

// newest returns the newest record of each key and the end of a stream.
func (s *sharedStore) newest(stream Stream) ([]Record, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]Record)
	for _, r := range s.records[stream] {
		newest[r.Key] = r
	}
	return slices.Collect(maps.Values(newest)), NewOffset(s.era, int64(len(s.records[stream])))
}

func (s *sharedStore) response(vm core.VM, stream Stream) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responses[vm][stream]
}

// vmStore is the store as one VM sees it.
type vmStore struct {
	*sharedStore
	vm core.VM
}

var errTurnedAway = errors.New("status 429")

func (s vmStore) Append(context.Context, Stream, int64, []Record) (int64, error) {
	return 0, errTurnedAway
}

func (s vmStore) Newest(ctx context.Context, stream Stream) ([]Record, int64, error) {
	time.Sleep(storeLatency)
	switch s.response(s.vm, stream) {
	case turnedAway:
		return nil, 0, errTurnedAway
	case unanswered:
		<-ctx.Done()
		return nil, 0, context.Cause(ctx)
	}
	records, next := s.newest(stream)
	return records, next, nil
}

func (s vmStore) Read(ctx context.Context, stream Stream, from int64, wait time.Duration) ([]Record, int64, int64, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(storeLatency)
	if s.response(s.vm, stream) == turnedAway {
		return nil, 0, 0, errTurnedAway
	}
	held := time.NewTimer(wait)
	defer held.Stop()
	for expired := false; ; {
		records, changed, err := s.from(stream, from)
		if s.response(s.vm, stream) == unanswered {
			<-ctx.Done()
			return nil, 0, 0, context.Cause(ctx)
		}
		if err != nil {
			return nil, 0, 0, err
		}
		if len(records) > 0 || expired {
			next := from + int64(len(records))
			return records, next, next, nil
		}
		select {
		case <-changed:
		case <-held.C:
			expired = true
		case <-ctx.Done():
			return nil, 0, 0, context.Cause(ctx)
		}
	}
}

// vm is a VM's replica with its readers and its follower.
type vm struct {
	name     core.VM
	domain   int
	rank     int
	ring     *ring.Ring[Message]
	readers  [NumStreams]*Reader
	follower *Follower
	clock    duty.Clock

	mu sync.Mutex
	// appliedAt is when the VM first knew the record at an offset.
	appliedAt [NumStreams]map[int64]core.Instant
}

func (v *vm) emit(_ context.Context, o Output) {
	switch o := o.(type) {
	case SetReading:
		for _, r := range v.readers {
			r.SetEnabled(o.On, o.Eager)
		}
	case SetFollowing:
		v.follower.SetEnabled(o.On)
	case SendReply:
		o.To <- o.Reply
	case Changed:
		v.readers[o.Stream].Advance(o.Next)
		v.follower.Advance(o.Stream, o.Next)
		v.noteApplied(o)
	}
}

func (v *vm) noteApplied(c Changed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range c.Records {
		v.appliedAt[c.Stream][r.Offset] = v.clock()
	}
}

// applied returns when the VM first knew the record at an offset or a later one.
func (v *vm) applied(s Stream, offset int64) (core.Instant, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	first, ok := core.Instant(0), false
	for o, at := range v.appliedAt[s] {
		if o >= offset && (!ok || at.Before(first)) {
			first, ok = at, true
		}
	}
	return first, ok
}

// Name implements Peer.
func (v *vm) Name() core.VM { return v.name }

// Sync implements Peer.
func (v *vm) Sync(ctx context.Context, have []Position, wait time.Duration) (SyncReply, error) {
	time.Sleep(peerLatency)
	reply := make(chan SyncReply, 1)
	if err := v.ring.PutBlocking(ctx, SyncRequest{Have: have, Until: v.clock().Add(wait), Reply: reply}); err != nil {
		return SyncReply{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return SyncReply{}, context.Cause(ctx)
	}
}

// deployment is a set of VMs around one store. In each failure domain the first
// VM is the elected reader and the next two are the deputies.
type deployment struct {
	store *sharedStore
	vms   []*vm
	clock duty.Clock
}

func newDeployment(ctx context.Context, domains, vmsPerDomain int) *deployment {
	elapsed := duty.NewClock()
	d := &deployment{
		store: &sharedStore{changed: make(chan struct{}), responses: make(map[core.VM]*[NumStreams]response)},
		clock: func() core.Instant { return elapsed().Add(time.Hour) },
	}
	for domain := range domains {
		for rank := range vmsPerDomain {
			v := &vm{
				name: core.VM(fmt.Sprintf("v%d-%d", domain, rank)), domain: domain, rank: rank, clock: d.clock,
				ring: ring.New[Message]("replica", 4096, ring.Block),
			}
			for s := range NumStreams {
				v.appliedAt[s] = make(map[int64]core.Instant)
			}
			d.store.responses[v.name] = new([NumStreams]response)
			d.vms = append(d.vms, v)
		}
	}
	for s := range NumStreams {
		d.store.append(s, "first")
	}
	go d.writeEvery(ctx, Owners, leaseInterval)
	go d.writeEvery(ctx, Targets, registrationInterval)
	for _, v := range d.vms {
		d.start(ctx, v)
	}
	return d
}

func (d *deployment) start(ctx context.Context, v *vm) {
	v.readers = NewReaders(vmStore{d.store, v.name}, v.ring, d.clock, logr.Discard())
	sources := d.sources(v)
	v.follower = NewFollower(func(n int) (Peer, int) { return sources[n%len(sources)], len(sources) }, v.ring, d.clock, logr.Discard())
	go duty.New("replica", d.clock, v.ring, New(), v.emit, Message(Tick{}), 50*time.Millisecond).Run(ctx)
	for _, r := range v.readers {
		go r.Run(ctx)
	}
	go v.follower.Run(ctx)
	_ = v.ring.PutBlocking(ctx, Elected{Reader: v.rank == 0, Deputy: v.rank <= 2})
}

// sources returns the VMs that another one follows, in the order of
// roster.View.Sources, and as many of them as a gateway tries (node.maxSources).
func (d *deployment) sources(self *vm) []*vm {
	const maxSources = 8
	var ordered []*vm
	take := func(match func(v *vm) bool) {
		for _, v := range d.vms {
			if v != self && match(v) {
				ordered = append(ordered, v)
			}
		}
	}
	take(func(v *vm) bool { return v.rank == 0 && v.domain == self.domain })
	take(func(v *vm) bool { return v.rank == 0 && v.domain != self.domain })
	take(func(v *vm) bool { return v.rank > 0 && v.domain == self.domain })
	take(func(v *vm) bool { return v.rank > 0 && v.domain != self.domain })
	return ordered[:min(len(ordered), maxSources)]
}

func (d *deployment) writeEvery(ctx context.Context, s Stream, interval time.Duration) {
	for ctx.Err() == nil {
		duty.Sleep(ctx, interval)
		d.store.append(s, "renewal")
	}
}

// disturb changes the store's responses to the VMs that match.
func (d *deployment) disturb(match func(v *vm) bool, r response, streams ...Stream) {
	for _, v := range d.vms {
		if match(v) {
			d.store.setResponse(v.name, r, streams...)
		}
	}
}

// latest returns the VM that last knew of the record at an offset, and how long
// after the given time.
func (d *deployment) latest(s Stream, offset int64, since core.Instant) (core.VM, time.Duration) {
	var name core.VM
	worst := time.Duration(-1)
	for _, v := range d.vms {
		at, ok := v.applied(s, offset)
		if !ok {
			return v.name, time.Duration(1<<63 - 1)
		}
		if delay := at.Sub(since); delay > worst {
			name, worst = v.name, delay
		}
	}
	return name, worst
}

// Guards against a configuration or a leaving target that is not known in time because the VM that
// a copy comes from has lost the store, wholly or for one stream, and keeps its
// followers (macky-brana inc1, nrbsa-gateway inc-485b).
func TestChangeIsInForceWhileReadersLoseTheStore(t *testing.T) {
	all := []Stream{Config, Targets, Owners, Members}
	reader := func(v *vm) bool { return v.rank == 0 }
	tests := []struct {
		name         string
		domains, vms int
		affected     func(v *vm) bool
		response     response
		streams      []Stream
		changed      Stream
	}{
		{"no fault", 3, 3, func(*vm) bool { return false }, served, all, Config},
		{"readers turned away", 3, 3, reader, turnedAway, all, Config},
		{"readers unanswered", 3, 3, reader, unanswered, all, Config},
		{"configuration of one reader unanswered", 3, 3, func(v *vm) bool { return v.rank == 0 && v.domain == 0 }, unanswered, []Stream{Config}, Config},
		{"configuration of the readers unanswered", 3, 3, reader, unanswered, []Stream{Config}, Config},
		{"targets of the readers unanswered", 3, 3, reader, unanswered, []Stream{Targets}, Targets},
		{"readers turned away, and the deputies of a failure domain", 5, 12, func(v *vm) bool { return v.rank == 0 || v.rank <= 2 && v.domain == 0 }, turnedAway, all, Config},
		{"readers unanswered, and the deputies of a failure domain", 5, 12, func(v *vm) bool { return v.rank == 0 || v.rank <= 2 && v.domain == 0 }, unanswered, all, Config},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			// The change comes at any moment relative to the reads that are held.
			for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 170 * time.Millisecond {
				var name core.VM
				var delay time.Duration
				synctest.Test(t, func(*testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					d := newDeployment(ctx, test.domains, test.vms)
					time.Sleep(20*time.Second + offset)
					d.disturb(test.affected, test.response, test.streams...)
					time.Sleep(offset * 3 % (2 * time.Second))
					acknowledged := d.clock()
					change := d.store.append(test.changed, "changed")
					time.Sleep(2 * configApply)
					name, delay = d.latest(test.changed, change, acknowledged)
					cancel()
					time.Sleep(5 * time.Second) // the goroutines of the deployment end
				})
				if delay > configApply {
					t.Errorf("fault at %v: the change is in force at %s after %v", offset, name, delay)
				}
				is.True(delay >= 0)
			}
		})
	}
}

// Guards against VMs that all hold a position before the oldest retained record
// and never read the store completely, as each of them takes the position that the
// others report for the end of the stream (macky-brana scale-2: a configuration
// was not in force until the end of the day).
func TestChangeIsKnownAfterItsRecordExpired(t *testing.T) {
	for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 170 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			d := newDeployment(ctx, 3, 3)
			time.Sleep(20*time.Second + offset)
			acknowledged := d.clock()
			for _, stream := range []Stream{Targets, Owners, Members} {
				d.store.forget(stream, "changed")
			}
			change := d.store.forget(Config, "changed")
			time.Sleep(2 * configApply)
			if name, delay := d.latest(Config, change, acknowledged); delay > configApply {
				t.Errorf("expired at %v: %s knows the change after %v", offset, name, delay)
			}
			cancel()
			time.Sleep(5 * time.Second) // the goroutines of the deployment end
		})
	}
}

// Guards against a change that is not known in time after the store came back from
// an older copy of itself, also if a VM notices late, and twice in a row
// (macky-brana restored).
func TestChangeIsKnownAfterARestore(t *testing.T) {
	tests := []struct {
		name     string
		affected func(v *vm) bool
	}{
		{"no other fault", func(*vm) bool { return false }},
		{"readers turned away", func(v *vm) bool { return v.rank == 0 }},
		{"readers of two failure domains turned away", func(v *vm) bool { return v.rank == 0 && v.domain > 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for lost := 1; lost <= 12; lost++ {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					d := newDeployment(ctx, 3, 3)
					time.Sleep(20*time.Second + time.Duration(lost)*170*time.Millisecond)
					for range lost {
						d.store.append(Config, "lost")
					}
					time.Sleep(time.Duration(lost) * 110 * time.Millisecond)
					d.disturb(test.affected, turnedAway, Config, Targets, Owners, Members)
					d.store.lose(lost)
					time.Sleep(time.Duration(lost%3) * time.Second)
					if lost%2 == 0 {
						d.store.append(Config, "lost in the second restore")
						d.store.lose(1)
					}
					acknowledged := d.clock()
					change := d.store.append(Config, "changed")
					time.Sleep(2 * configApply)
					if name, delay := d.latest(Config, change, acknowledged); delay > configApply {
						t.Errorf("%d records lost: %s knows the change after %v", lost, name, delay)
					}
					cancel()
					time.Sleep(5 * time.Second) // the goroutines of the deployment end
				})
			}
		})
	}
}
