// Package report draws a journal entry of the users' bench, or the logs of
// gateway VMs, as one HTML page with plots.
package report
