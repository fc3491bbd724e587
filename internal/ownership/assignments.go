package ownership

import (
	"iter"
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
)

const (
	// Units is the number of units into which the keys of a service are divided.
	// A unit is the smallest set of keys that can move. Units are small because
	// hot keys are close together and a few dozen of them overload one target.
	Units = 16384
	// KeysPerUnit divides the 65,536 keys of a service evenly.
	KeysPerUnit = 65536 / Units
	// unitsPerBlock is the number of units in one ledger record. Smaller blocks
	// shorten the records of a move and lengthen the first assignment.
	unitsPerBlock = 64
	numBlocks     = Units / unitsPerBlock
	// maxTableEntries is the number of distinct assignments above which Clone
	// removes unused ones.
	maxTableEntries = 8192
)

// Holder identifies a target process that holds keys.
type Holder struct {
	Target core.Target `json:"target"`
	// StartedAt is when the process started, in Unix milliseconds.
	StartedAt int64  `json:"born"`
	Address   string `json:"address"`
}

func holderOf(t *discovery.Target) Holder {
	return Holder{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address}
}

// IsZero reports whether there is no holder.
func (h Holder) IsZero() bool { return h.Target == "" }

// SameProcess reports whether both are the same process.
func (h Holder) SameProcess(o Holder) bool { return h.Target == o.Target && h.StartedAt == o.StartedAt }

// Assignment is the owner of a unit.
type Assignment struct {
	Owner Holder
	// Token is the fencing token of the grant.
	Token int64
	// Previous may still hold the unit. The owner is granted it once Previous no
	// longer does.
	Previous Holder
}

// Moving reports whether the owner does not hold the unit yet.
func (a Assignment) Moving() bool { return !a.Previous.IsZero() }

// Assignments holds the assignment of every unit of a service. Most neighbouring
// units share an assignment, so each unit stores an index into a table.
type Assignments struct {
	index [Units]uint16
	table []Assignment
	ids   map[Assignment]uint16
}

// NewAssignments returns assignments without owners.
func NewAssignments() *Assignments {
	return &Assignments{table: []Assignment{{}}, ids: map[Assignment]uint16{{}: 0}}
}

// Clone returns an independent copy.
func (a *Assignments) Clone() *Assignments {
	if len(a.table) > maxTableEntries {
		return a.compact()
	}
	return &Assignments{index: a.index, table: slices.Clone(a.table), ids: maps.Clone(a.ids)}
}

// withToken returns a copy in which every unit that has an owner has the given
// fencing token.
func (a *Assignments) withToken(token int64) *Assignments {
	out := NewAssignments()
	for ar := range a.Ranges() {
		if ar.Assignment.Owner.IsZero() {
			continue
		}
		ar.Assignment.Token = token
		for u := ar.From; u <= ar.To; u++ {
			out.Set(u, ar.Assignment)
		}
	}
	return out
}

func (a *Assignments) compact() *Assignments {
	compacted := NewAssignments()
	for ar := range a.Ranges() {
		for u := ar.From; u <= ar.To; u++ {
			compacted.Set(u, ar.Assignment)
		}
	}
	return compacted
}

// At returns the assignment of a unit.
func (a *Assignments) At(u int) Assignment { return a.table[a.index[u]] }

// Set changes the assignment of a unit.
func (a *Assignments) Set(u int, assignment Assignment) {
	id, ok := a.ids[assignment]
	if !ok {
		id = uint16(len(a.table))
		a.table = append(a.table, assignment)
		a.ids[assignment] = id
	}
	a.index[u] = id
}

// AssignmentRange is a range of consecutive units with the same assignment.
type AssignmentRange struct {
	From, To   int
	Assignment Assignment
}

// Ranges returns all ranges in ascending order.
func (a *Assignments) Ranges() iter.Seq[AssignmentRange] { return a.ranges(0, Units) }

func (a *Assignments) ranges(from, end int) iter.Seq[AssignmentRange] {
	return func(yield func(AssignmentRange) bool) {
		for u := from; u < end; {
			to := u
			for to+1 < end && a.index[to+1] == a.index[u] {
				to++
			}
			if !yield(AssignmentRange{From: u, To: to, Assignment: a.At(u)}) {
				return
			}
			u = to + 1
		}
	}
}
