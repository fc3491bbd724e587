// Package routing selects the route of a request. A Table is built from a
// Config and is immutable. ActiveTable replaces it atomically by the table of a
// newer version and never returns to an older one.
package routing
