// Package report renders a journal entry of the users' benchmark, or the logs
// of gateway VMs, as a single HTML page with plots.
package report
