package cost

import (
	"hash/maphash"
	"math/bits"
	"strings"
)

// Feature is a property of a request that its work may depend on. The order is
// from few values to many: of two features that predict equally well, the one
// with fewer values has more samples for each.
type Feature uint8

const (
	// Method is the HTTP method.
	Method Feature = iota
	// Size is the size of the body in powers of two.
	Size
	// Segment is the first segment of the path below the route's prefix.
	Segment
	// Caller is who sends the request.
	Caller
	// Key is the request's key.
	Key
	// Path is the whole path below the route's prefix.
	Path
	// NoFeature stands for the mean of the route.
	NoFeature

	featureCount = int(NoFeature)
)

func (f Feature) String() string {
	return [...]string{"method", "size", "segment", "caller", "key", "path", "none"}[f]
}

// Features holds a value for each feature of a request; 0 means that the request
// has none. Values of different processes are not comparable.
type Features [featureCount]uint64

// Attributes are the properties of a request from which its features derive.
type Attributes struct {
	Method string
	// Path is the path below the route's prefix, without the query.
	Path string
	// Key is the request's key if Keyed is set.
	Key   uint16
	Keyed bool
	// BodyBytes is the size of the body.
	BodyBytes int
	// Caller identifies the caller. Only its hash is kept.
	Caller []string
}

// seed is random, so that callers can't craft values with equal hashes.
var seed = maphash.MakeSeed()

// NewFeatures returns the features of a request.
func NewFeatures(a Attributes) Features {
	segment, _, _ := strings.Cut(a.Path, "/")
	f := Features{
		Method:  maphash.String(seed, a.Method),
		Size:    uint64(bits.Len(uint(a.BodyBytes))) + 1,
		Segment: maphash.String(seed, segment),
		Path:    maphash.String(seed, a.Path),
	}
	if a.Keyed {
		f[Key] = uint64(a.Key) + 1
	}
	if len(a.Caller) > 0 {
		var h maphash.Hash
		h.SetSeed(seed)
		for _, s := range a.Caller {
			h.WriteString(s)
			h.WriteByte(0)
		}
		f[Caller] = h.Sum64()
	}
	return f
}
