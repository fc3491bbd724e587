// Package observe sets up logs, counters and traces. Events are counted; log
// lines are for changes of state only.
package observe
