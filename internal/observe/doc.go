// Package observe provides logging, metrics and tracing. Single events are
// counted in metrics; only changes of state are logged.
package observe
