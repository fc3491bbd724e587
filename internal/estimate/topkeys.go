package estimate

import "slices"

// Count is the estimated number of occurrences of a key. The exact number is
// between N-Error and N.
type Count[K comparable] struct {
	Key      K
	N, Error uint64
}

// TopKeys is the space-saving sketch of Metwally, Agrawal and El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams"
// (ICDT 2005): it tracks at most a fixed number of keys, and a key that is not
// tracked replaces the one with the smallest count and inherits that count. The
// counters form a binary min-heap.
type TopKeys[K comparable] struct {
	limit int
	heap  []Count[K]
	// index holds the position of each key in heap.
	index map[K]int
}

// NewTopKeys returns a sketch that tracks at most limit keys.
func NewTopKeys[K comparable](limit int) *TopKeys[K] {
	return &TopKeys[K]{limit: limit, index: make(map[K]int, limit)}
}

// Add counts one occurrence of key.
func (t *TopKeys[K]) Add(key K) {
	if i, ok := t.index[key]; ok {
		t.heap[i].N++
		t.siftDown(i)
		return
	}
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, Count[K]{Key: key, N: 1})
		t.index[key] = len(t.heap) - 1
		t.siftUp(len(t.heap) - 1)
		return
	}
	least := &t.heap[0]
	delete(t.index, least.Key)
	least.Key, least.Error = key, least.N
	least.N++
	t.index[key] = 0
	t.siftDown(0)
}

// Top returns up to n keys in descending order of frequency.
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

// Reset removes all keys.
func (t *TopKeys[K]) Reset() {
	t.heap = t.heap[:0]
	clear(t.index)
}

func (t *TopKeys[K]) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.index[t.heap[i].Key], t.index[t.heap[j].Key] = i, j
}

func (t *TopKeys[K]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if t.heap[parent].N <= t.heap[i].N {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

func (t *TopKeys[K]) siftDown(i int) {
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
