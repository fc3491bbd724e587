// Package route is the duty that finds the front of a request. It owns the
// newest range map of each failure domain, the policy in force and the
// delegation, from which it prepares a table with one decision per range and
// one pool of targets per undivided service. It also owns the retry and hedge
// budgets and what this VM has observed of each target.
package route
