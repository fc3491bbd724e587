// Package upstream sends requests to targets over keep-alive connections and
// validates the responses: a response is accepted only if it carries the id of
// the request and is complete, and a connection is reused only if no unread data
// is left on it. Errors state whether any byte of a request was written, since
// only then may the target have run it.
package upstream
