package peer

import (
	"encoding/json"
	"errors"

	"github.com/twitchtv/twirp"
)

// stoppingMetaKey marks the error that a stopping VM returns for a request that
// did not reach a handler.
const stoppingMetaKey = "celeryhook_stopping"

// StoppingResponse returns the error marked with stoppingMetaKey in twirp's
// encoding.
func StoppingResponse() (contentType string, body []byte) {
	body, err := json.Marshal(map[string]any{
		"code": twirp.Unavailable,
		"msg":  "the VM is stopping",
		"meta": map[string]string{stoppingMetaKey: "1"},
	})
	if err != nil {
		return "text/plain", nil
	}
	return "application/json", body
}

// isStopping reports whether err is the error of StoppingResponse.
func isStopping(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.Unavailable && t.Meta(stoppingMetaKey) == "1"
}
