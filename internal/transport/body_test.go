package transport

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the beginning of a body that is taken for the whole body.
func TestBodyOverItsLimitIsNotComplete(t *testing.T) {
	const limit = 10
	for length, tooLarge := range map[int]bool{0: false, limit - 1: false, limit: false, limit + 1: true, 1000 * limit: true} {
		is := is.New(t)
		body := strings.Repeat("x", length)
		response := func() *http.Response { return &http.Response{Body: io.NopCloser(strings.NewReader(body))} }
		b, err := ReadBody(response(), limit)
		is.Equal(errors.Is(err, ErrBodyTooLarge), tooLarge)
		if !tooLarge {
			is.NoErr(err)
			is.Equal(string(b), body)
		}
		is.Equal(errors.Is(DiscardBody(response(), limit), ErrBodyTooLarge), tooLarge)
	}
}

// Guards against a body that breaks off and counts as complete.
func TestBodyThatBreaksOffIsNotComplete(t *testing.T) {
	is := is.New(t)
	brokenOff := io.MultiReader(strings.NewReader("half"), errorReader{})
	_, err := ReadBody(&http.Response{Body: io.NopCloser(brokenOff)}, 10)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(errors.Is(DiscardBody(&http.Response{Body: io.NopCloser(errorReader{})}, 10), io.ErrUnexpectedEOF))
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
