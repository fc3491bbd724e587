package core

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RangeID identifies a part of a service's key space: one of its numbered
// ranges, or a single hot key, given by its hash.
type RangeID struct {
	Service Service `json:"service"`
	Number  uint32  `json:"number"`
	HotKey  uint64  `json:"hot_key,omitempty"`
}

func (r RangeID) String() string {
	if r.HotKey != 0 {
		return string(r.Service) + "/" + hotKeyPrefix + strconv.FormatUint(r.HotKey, 16)
	}
	return string(r.Service) + "/" + strconv.FormatUint(uint64(r.Number), 10)
}

// Compare orders ranges by service, number and hot key.
func (r RangeID) Compare(s RangeID) int {
	switch {
	case r.Service < s.Service:
		return -1
	case r.Service > s.Service:
		return 1
	case r.Number != s.Number:
		return compare(uint64(r.Number), uint64(s.Number))
	}
	return compare(r.HotKey, s.HotKey)
}

// HashKey returns the hash of a key. It is never zero because a RangeID with a
// zero HotKey is a numbered range.
func HashKey(key string) uint64 {
	if h := xxhash.Sum64String(key); h != 0 {
		return h
	}
	return 1
}

// RangeOf returns the numbered range of a key hash in a service that has the
// given number of ranges.
func RangeOf(service Service, hash uint64, ranges uint32) RangeID {
	return RangeID{Service: service, Number: uint32(hash % uint64(ranges))}
}

// RendezvousScore returns the weighted rendezvous hashing score of a node for an
// item. The node with the highest score owns the item; a node that joins or
// leaves affects only the items that it gains or loses.
func RendezvousScore(item, node string, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	h := xxhash.New()
	_, _ = h.WriteString(item)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(node)
	// 53 bits fill a float64's mantissa; adding 0.5 keeps u strictly
	// between 0 and 1.
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
