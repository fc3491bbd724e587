// Package route implements the duty that finds the front for a request. It keeps
// the newest range map of each failure domain, the policy in force and the
// delegation, and prepares from them a routing table with one decision for each
// range and one pool of targets for each unsharded service. It also keeps the
// retry and hedge budgets and this VM's statistics of each target.
package route
