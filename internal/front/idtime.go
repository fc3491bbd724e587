package front

import (
	"time"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/core"
)

// idTime returns the time encoded in a request id that is a version 7 UUID.
func idTime(id core.RequestID) (time.Time, bool) {
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
