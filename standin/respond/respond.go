// Package respond writes the HTTP responses of the stand-ins.
package respond

import (
	"encoding/json"
	"net/http"
)

// JSON writes v as JSON, with status 200 unless a status was written before.
// Errors are ignored: they mean that the client has closed the connection.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
