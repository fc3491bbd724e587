package team

import (
	"crypto/subtle"
	"hash/maphash"
	"math/bits"
)

// Index finds teams by API key. It is immutable and safe for concurrent use.
type Index struct {
	// seed is random, so that the time of a lookup says nothing about how much of a
	// key was right: only a key with an equal tag gets compared, in constant time.
	seed maphash.Seed
	// slots is an open-addressed hash table whose size is a power of two, and keys
	// holds the keys one after the other, so that a lookup reads two cache lines.
	slots  []slot
	keys   []byte
	teams  []Team
	byName map[string]*Team
}

// slot is empty if length is 0.
type slot struct {
	tag            uint32
	offset, length uint32
	team           int32
}

// slotsPerKey keeps the runs of full slots short.
const slotsPerKey = 2

// NewIndex returns the index of valid teams, or nil if there are none.
func NewIndex(teams []Team) *Index {
	if len(teams) == 0 {
		return nil
	}
	count := 0
	for i := range teams {
		count += len(teams[i].Keys)
	}
	x := &Index{
		seed: maphash.MakeSeed(), teams: teams, byName: make(map[string]*Team, len(teams)),
		slots: make([]slot, 1<<bits.Len(uint(count*slotsPerKey))),
	}
	for i := range teams {
		t := &teams[i]
		x.byName[t.Name] = t
		for _, k := range t.Keys {
			x.add(maphash.String(x.seed, string(k)), string(k), int32(i))
		}
	}
	return x
}

func (x *Index) add(h uint64, key string, team int32) {
	mask := uint64(len(x.slots) - 1)
	i := h & mask
	for x.slots[i].length > 0 {
		i = (i + 1) & mask
	}
	x.slots[i] = slot{tag: tagOf(h), offset: uint32(len(x.keys)), length: uint32(len(key)), team: team}
	x.keys = append(x.keys, key...)
}

// tagOf returns the part of a hash that the slot's place doesn't depend on.
func tagOf(hash uint64) uint32 { return uint32(hash >> 32) }

// Find returns the team of a key, or nil.
func (x *Index) Find(key string) *Team {
	if x == nil || len(key) == 0 || len(key) > maxKeyBytes {
		return nil
	}
	return x.find(maphash.String(x.seed, key), key)
}

func (x *Index) find(h uint64, key string) *Team {
	mask := uint64(len(x.slots) - 1)
	for i := h & mask; x.slots[i].length > 0; i = (i + 1) & mask {
		if s := x.slots[i]; s.tag == tagOf(h) && equal(x.keys[s.offset:s.offset+s.length], key) {
			return &x.teams[s.team]
		}
	}
	return nil
}

// equal compares in a time that depends only on the lengths.
func equal(a []byte, b string) bool {
	if len(a) != len(b) {
		return false
	}
	var difference byte
	for i := range a {
		difference |= a[i] ^ b[i]
	}
	return subtle.ConstantTimeByteEq(difference, 0) == 1
}

// Team returns a team by name, or nil.
func (x *Index) Team(name string) *Team {
	if x == nil {
		return nil
	}
	return x.byName[name]
}

// Teams returns all teams. The caller must not change them.
func (x *Index) Teams() []Team {
	if x == nil {
		return nil
	}
	return x.teams
}
