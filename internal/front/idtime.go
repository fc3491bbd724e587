package front

import (
	"time"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/core"
)

// timeOfID returns the time in a request id that is a UUID of version 7.
func timeOfID(id core.RequestID) (time.Time, bool) {
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
