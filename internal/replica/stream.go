package replica

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Stream is one of the streams that every VM copies.
type Stream uint8

// The streams.
const (
	// Config holds the configuration and evacuations that operators set.
	Config Stream = iota
	// Targets holds the registrations of targets.
	Targets
	// Owners holds the leader's lease and the owner of each key range.
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

// Errors of Store.
var (
	// ErrExpired is returned by a read from before the oldest retained record.
	ErrExpired = errors.New("replica: records expired")
	// ErrEraChanged is returned by a call that depends on an offset of an earlier era.
	ErrEraChanged = errors.New("replica: the store has been restored from an older copy")
	// ErrConflict is returned by an append whose offset is not the end of the
	// stream.
	ErrConflict = errors.New("replica: append offset is not the end of the stream")
)

// Store is the part of the platform's store that this package uses. Its offsets
// hold the era of the store (NewOffset). Its errors name the call. Of the errors of
// Append, only ErrConflict guarantees that nothing was written.
type Store interface {
	// Newest returns the newest record of each key, and the offset from which
	// Read continues.
	Newest(ctx context.Context, s Stream) (records []Record, next int64, err error)
	// Read returns the records from an offset on, the offset after them and the
	// offset at which the stream ends; the response may leave out later records. If
	// there are none, it waits for the first one for up to the given time.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (records []Record, next, end int64, err error)
	// Append adds records if the stream ends at the given offset, or
	// unconditionally if at is negative. It returns the offset of the first record.
	Append(ctx context.Context, s Stream, at int64, records []Record) (offset int64, err error)
}

// Batch holds the records of one stream from one read of the store, sync reply
// or append.
type Batch struct {
	Stream  Stream
	Records []Record
	// Next is the offset after the last record.
	Next int64
	// Complete is set if Records holds every existing key of the stream.
	Complete bool
	// AsOf is a time at which Next was the end of the stream, or 0 if it is known
	// that more records follow.
	AsOf core.Instant
	// Source names where the batch came from: the store, a VM or an append.
	Source string
}

// Position is the offset after the last record of a stream in a VM's copy.
type Position struct {
	Stream Stream
	Next   int64
}
