package replica

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Stream names one of the streams that every VM copies.
type Stream uint8

// The streams.
const (
	// Config holds the operators' configuration and evacuations.
	Config Stream = iota
	// Targets holds the registrations of targets.
	Targets
	// Owners holds the assigner's lease and the owner of each key range.
	Owners
	// Members holds the VMs of the deployment.
	Members
	// NumStreams is the number of streams.
	NumStreams
)

func (s Stream) String() string {
	return [...]string{"config", "targets", "owners", "members"}[s]
}

// Record is the state of one key in a stream.
type Record struct {
	Key     string
	Value   []byte
	Offset  int64
	Deleted bool
}

// Errors of a store.
var (
	// ErrExpired: records before the oldest kept one were asked for.
	ErrExpired = errors.New("replica: records expired")
	// ErrConflict: the stream doesn't end where the append expected it to.
	ErrConflict = errors.New("replica: stream has moved on")
)

// Store is the platform's store as this package uses it. Its errors name the
// call; no error of an append but ErrConflict says that nothing was written.
type Store interface {
	// Newest returns the newest record of each key, and the offset from which
	// Read continues.
	Newest(ctx context.Context, s Stream) (records []Record, next int64, err error)
	// Read returns the records from an offset on, and the offset after them. It
	// waits up to wait for the first one.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Append adds records if the stream ends at the given offset, or in any
	// case if at is negative. It returns the offset of the first record.
	Append(ctx context.Context, s Stream, at int64, records []Record) (offset int64, err error)
}

// Batch is what one read or one peer's answer brought.
type Batch struct {
	Stream  Stream
	Records []Record
	// Next is the offset after the last record.
	Next int64
	// Complete is set if Records holds every key that exists.
	Complete bool
	// AsOf is a time at which the stream ended at Next.
	AsOf core.Instant
	// Source is the store or the VM that the batch came from.
	Source string
}

// Position is how far a VM's copy of a stream goes.
type Position struct {
	Stream Stream
	Next   int64
}
