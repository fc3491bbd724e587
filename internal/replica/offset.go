package replica

// Offsets order the records of a stream over all eras of the store. A store that
// is restored from an older copy of itself begins a new era and assigns the
// indexes of the lost records again. An offset therefore holds the era above the
// store's own index, so that every offset of an era is larger than those of
// earlier ones.

// indexBits leaves room for 10^12 records of a stream in an era. Offsets of up to
// 8191 eras are exact in JSON numbers.
const indexBits = 40

// NewOffset returns the offset of an index of the store in an era.
func NewOffset(era, index int64) int64 { return era<<indexBits | index }

// Era returns the era of an offset.
func Era(offset int64) int64 { return offset >> indexBits }

// Index returns the index of an offset within its era.
func Index(offset int64) int64 { return offset & (1<<indexBits - 1) }
