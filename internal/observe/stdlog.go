package observe

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
)

// CaptureStandardLog passes what libraries write with the package log to l, and
// returns a function that ends this. net/http reports there, for each connection,
// the bytes of a response that nobody waits for.
func CaptureStandardLog(l logr.Logger) (restore func()) {
	out, flags := log.Writer(), log.Flags()
	log.SetOutput(standardLog{l})
	log.SetFlags(0)
	return func() {
		log.SetOutput(out)
		log.SetFlags(flags)
	}
}

// standardLog logs each write as a line.
type standardLog struct{ log logr.Logger }

// Write implements io.Writer.
func (s standardLog) Write(b []byte) (int, error) {
	s.log.Info("library message", "text", strings.TrimSpace(string(b)))
	return len(b), nil
}
