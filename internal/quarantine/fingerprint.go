package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same to a target.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of the parts of a request. The same parts
// in the same order have the same fingerprint on every VM.
func NewFingerprint(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
