package team

import (
	"crypto/subtle"
	"hash/maphash"
)

// Index finds teams by API key. It is immutable and safe for concurrent use.
type Index struct {
	// seed is random, so that the time of a lookup says nothing about how much of a
	// key was right: only a key whose hash is equal gets compared, in constant time.
	seed    maphash.Seed
	first   map[uint64]int32
	entries []indexEntry
	byName  map[string]*Team
}

type indexEntry struct {
	key  string
	team *Team
	// next is the index of another entry with the same hash, or -1.
	next int32
}

// NewIndex returns the index of valid teams, or nil if there are none.
func NewIndex(teams []Team) *Index {
	if len(teams) == 0 {
		return nil
	}
	x := &Index{seed: maphash.MakeSeed(), first: make(map[uint64]int32), byName: make(map[string]*Team, len(teams))}
	for i := range teams {
		t := &teams[i]
		x.byName[t.Name] = t
		for _, k := range t.Keys {
			h := maphash.String(x.seed, string(k))
			next, ok := x.first[h]
			if !ok {
				next = -1
			}
			x.first[h] = int32(len(x.entries))
			x.entries = append(x.entries, indexEntry{key: string(k), team: t, next: next})
		}
	}
	return x
}

// Find returns the team of a key, or nil.
func (x *Index) Find(key string) *Team {
	if x == nil || len(key) == 0 || len(key) > maxKeyBytes {
		return nil
	}
	i, ok := x.first[maphash.String(x.seed, key)]
	if !ok {
		return nil
	}
	for ; i >= 0; i = x.entries[i].next {
		if e := &x.entries[i]; equal(e.key, key) {
			return e.team
		}
	}
	return nil
}

// equal compares in a time that depends only on the lengths. The conversions don't
// allocate for keys of up to maxStackKey bytes.
func equal(a, b string) bool {
	const maxStackKey = 128
	if len(a) != len(b) {
		return false
	}
	if len(a) > maxStackKey {
		return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
	}
	var x, y [maxStackKey]byte
	copy(x[:], a)
	copy(y[:], b)
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// Team returns a team by name, or nil.
func (x *Index) Team(name string) *Team {
	if x == nil {
		return nil
	}
	return x.byName[name]
}

// Size returns the number of teams.
func (x *Index) Size() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}
