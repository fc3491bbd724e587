// Package roster lists the gateway VMs of the deployment. Each VM renews its
// own record in the store; the record of a VM that stops renewing expires. All
// VMs rank the members by the same hash, so that they agree without messages on
// which VM reads the store for a failure domain, which one renews a target's
// grant and which ones send to a cold target.
package roster

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// RenewInterval is how often a VM writes its record. Calls to the store are
	// charged, and VMs that call a failed VM notice it much sooner.
	RenewInterval = 8 * time.Second
	// RecordTTL allows for two renewals and the propagation of a record.
	RecordTTL = 20 * time.Second
)

// Member is a VM's record.
type Member struct {
	VM            core.VM            `json:"vm"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	// Address is the address for calls from other VMs.
	Address string `json:"address"`
	// Incarnation differs between processes of the same VM; a later process has
	// a greater one.
	Incarnation int64 `json:"incarnation"`
	// Capacity is the VM's processor time in cores.
	Capacity float64 `json:"capacity"`
}

// Encode returns the JSON encoding of the record.
func (m Member) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("roster: encode %s: %w", m.VM, err)
	}
	return b, nil
}

// Decode parses a record and checks that it names a VM and an address.
func Decode(b []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(b, &m); err != nil {
		return Member{}, fmt.Errorf("roster: decode: %w", err)
	}
	if m.VM == "" || m.Address == "" {
		return Member{}, fmt.Errorf("roster: record of VM %q at %q is incomplete", m.VM, m.Address)
	}
	return m, nil
}

// Roster tracks the members. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[core.VM]entry
	changed bool
}

type entry struct {
	Member
	renewedAt core.Instant
}

// New returns a roster that always includes this VM.
func New(self Member) *Roster {
	return &Roster{self: self, members: make(map[core.VM]entry), changed: true}
}

// Renew adds or updates a member. It ignores records of earlier processes.
func (r *Roster) Renew(now core.Instant, m Member) {
	old, known := r.members[m.VM]
	if known && old.Incarnation > m.Incarnation {
		return
	}
	r.members[m.VM] = entry{Member: m, renewedAt: now}
	r.changed = r.changed || !known || old.Member != m
}

// Remove handles a record that was deleted.
func (r *Roster) Remove(vm core.VM) {
	if _, ok := r.members[vm]; ok {
		delete(r.members, vm)
		r.changed = true
	}
}

// Expire removes the members that have not renewed their records. It is called
// only while the copy of the stream is fresh, so that an outage of the store
// doesn't expire members.
func (r *Roster) Expire(now core.Instant) {
	for vm, e := range r.members {
		if now.Sub(e.renewedAt) > RecordTTL {
			delete(r.members, vm)
			r.changed = true
		}
	}
}

// Changed reports whether the members have changed since the last View.
func (r *Roster) Changed() bool { return r.changed }

// View returns a snapshot sorted by VM name and resets Changed.
func (r *Roster) View() *View {
	r.changed = false
	v := &View{self: r.self, byName: make(map[core.VM]Member, len(r.members)+1), ranked: make(map[rankKey][]Member)}
	for vm, e := range r.members {
		v.byName[vm] = e.Member
	}
	v.byName[r.self.VM] = r.self
	for _, m := range v.byName {
		v.all = append(v.all, m)
	}
	sort.Slice(v.all, func(i, j int) bool { return v.all[i].VM < v.all[j].VM })
	return v
}

// View is an immutable snapshot of the members.
type View struct {
	self   Member
	all    []Member
	byName map[core.VM]Member

	// ranked caches rankings, as they are needed again with every change of a
	// target or a key.
	mu     sync.Mutex
	ranked map[rankKey][]Member
}

type rankKey struct {
	key        string
	preferred  core.FailureDomain
	byCapacity bool
}

// Size returns the number of members, this VM included.
func (v *View) Size() int { return len(v.all) }

// Self returns this VM's record.
func (v *View) Self() Member { return v.self }

// All returns the members sorted by VM name.
func (v *View) All() []Member { return v.all }

// Member returns a member by name.
func (v *View) Member(vm core.VM) (Member, bool) {
	m, ok := v.byName[vm]
	return m, ok
}

// Ranked returns the members ranked by rendezvous hashing with a key. Members in
// the preferred failure domain, if any, come first. The caller must not change
// the result.
func (v *View) Ranked(key string, preferred core.FailureDomain) []Member {
	return v.cachedRanking(rankKey{key: key, preferred: preferred})
}

// RankedByCapacity returns the members ranked by capacity and then as by Ranked.
// Members in the preferred failure domain, if any, come first. It is for duties
// that use processor time on behalf of all VMs. The caller must not change the
// result.
func (v *View) RankedByCapacity(key string, preferred core.FailureDomain) []Member {
	return v.cachedRanking(rankKey{key: key, preferred: preferred, byCapacity: true})
}

func (v *View) cachedRanking(k rankKey) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, ok := v.ranked[k]
	if !ok {
		list = v.rank(k)
		v.ranked[k] = list
	}
	return list
}

func (v *View) rank(k rankKey) []Member {
	type scored struct {
		Member
		score float64
	}
	list := make([]scored, len(v.all))
	for i, m := range v.all {
		list[i] = scored{m, core.RendezvousScore(k.key, string(m.VM), 1)}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if in := a.FailureDomain == k.preferred; in != (b.FailureDomain == k.preferred) {
			return in
		}
		if k.byCapacity && a.Capacity != b.Capacity {
			return a.Capacity > b.Capacity
		}
		return a.score > b.score
	})
	out := make([]Member, len(list))
	for i := range list {
		out[i] = list[i].Member
	}
	return out
}

// Rank returns the index of this VM in Ranked.
func (v *View) Rank(key string, preferred core.FailureDomain) int {
	return v.selfIndex(v.Ranked(key, preferred))
}

// CapacityRank returns the index of this VM in RankedByCapacity.
func (v *View) CapacityRank(key string, preferred core.FailureDomain) int {
	return v.selfIndex(v.RankedByCapacity(key, preferred))
}

func (v *View) selfIndex(list []Member) int {
	for i, m := range list {
		if m.VM == v.self.VM {
			return i
		}
	}
	return len(list)
}

// Sources returns the other members in the order in which this VM tries to
// follow them: the highest-ranked one of each failure domain, its own domain
// first, and then the rest.
func (v *View) Sources(key string) []Member {
	ranked := v.RankedByCapacity(key, v.self.FailureDomain)
	seen := make(map[core.FailureDomain]bool)
	var first, rest []Member
	for _, m := range ranked {
		firstInDomain := !seen[m.FailureDomain]
		seen[m.FailureDomain] = true
		switch {
		case m.VM == v.self.VM:
		case firstInDomain:
			first = append(first, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}
