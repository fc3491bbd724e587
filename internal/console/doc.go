// Package console is the operators' edge: forms in a browser whose output is
// the policy document. It works without scripts. The draft travels in the
// forms, so the console owns no state; what is in force comes from the log.
package console
