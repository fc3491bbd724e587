// Package upstream sends requests to targets over kept connections and reads
// their answers strictly: an answer counts only if it bears the request's id
// and is complete, and a connection is used again only if nothing is left over
// on it. It reports whether anything of a request was written, since only then
// may the target have run it.
package upstream
