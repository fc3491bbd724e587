package platformlog

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an append that is reported as done although the platform's
// response never ends.
func TestEndlessResponseIsNoResponse(t *testing.T) {
	is := is.New(t)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"offset":7}`))
		for spaces := []byte(strings.Repeat(" ", 64<<10)); err == nil; {
			_, err = w.Write(spaces)
		}
	}))
	defer h.Close()
	_, err := NewHTTPLog(h.URL, h.Client()).Append(t.Context(), []byte("record"))
	is.True(errors.Is(err, ErrUnavailable))
	is.True(!errors.Is(err, ErrRejected)) // it may have been appended
}
