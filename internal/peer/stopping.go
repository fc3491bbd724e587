package peer

import (
	"encoding/json"
	"errors"

	"github.com/twitchtv/twirp"
)

// metaStopping marks the answer of a VM that stops to a request that none of
// its handlers got.
const metaStopping = "celeryhook_stopping"

// Stopping returns that answer: an error as twirp encodes it.
func Stopping() (contentType string, body []byte) {
	body, err := json.Marshal(map[string]any{
		"code": twirp.Unavailable,
		"msg":  "the VM is stopping",
		"meta": map[string]string{metaStopping: "1"},
	})
	if err != nil {
		return "text/plain", nil
	}
	return "application/json", body
}

// saysStopping reports whether an error is that answer.
func saysStopping(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.Unavailable && t.Meta(metaStopping) == "1"
}
