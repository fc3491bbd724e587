package estimate

import "slices"

// Count is the estimated number of occurrences of a key. The true number lies
// between N-Error and N.
type Count[K comparable] struct {
	Key      K
	N, Error uint64
}

// TopKeys is the space-saving sketch of Metwally, Agrawal and El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams"
// (ICDT 2005): it counts at most a fixed number of keys, and a key that is not
// counted replaces the one with the smallest count and inherits that count.
// Counters are kept in a binary heap ordered by count.
type TopKeys[K comparable] struct {
	limit int
	heap  []Count[K]
	at    map[K]int
}

// NewTopKeys returns a sketch of at most limit keys.
func NewTopKeys[K comparable](limit int) *TopKeys[K] {
	return &TopKeys[K]{limit: limit, at: make(map[K]int, limit)}
}

// Add counts one occurrence.
func (t *TopKeys[K]) Add(key K) {
	if i, ok := t.at[key]; ok {
		t.heap[i].N++
		t.down(i)
		return
	}
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, Count[K]{Key: key, N: 1})
		t.at[key] = len(t.heap) - 1
		t.up(len(t.heap) - 1)
		return
	}
	least := &t.heap[0]
	delete(t.at, least.Key)
	least.Key, least.Error = key, least.N
	least.N++
	t.at[key] = 0
	t.down(0)
}

// Top returns up to n keys, the most frequent first.
func (t *TopKeys[K]) Top(n int) []Count[K] {
	all := slices.Clone(t.heap)
	slices.SortFunc(all, func(a, b Count[K]) int {
		switch {
		case a.N > b.N:
			return -1
		case a.N < b.N:
			return 1
		}
		return 0
	})
	return all[:min(n, len(all))]
}

// Reset forgets all keys.
func (t *TopKeys[K]) Reset() {
	t.heap = t.heap[:0]
	clear(t.at)
}

func (t *TopKeys[K]) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.at[t.heap[i].Key], t.at[t.heap[j].Key] = i, j
}

func (t *TopKeys[K]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if t.heap[parent].N <= t.heap[i].N {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

func (t *TopKeys[K]) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(t.heap) && t.heap[child].N < t.heap[least].N {
				least = child
			}
		}
		if least == i {
			return
		}
		t.swap(i, least)
		i = least
	}
}
