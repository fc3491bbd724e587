// Package team identifies the teams that send requests, by their API keys, and
// limits how many requests of each are sent.
//
// An Index finds the team of a key. It is built from one version of the
// configuration and is immutable.
//
// A team's quota holds over all VMs. One VM, the account, issues permits that
// expire within a lifetime; a request is sent only with a permit. Account and Holder
// are the state machines of the two sides. docs/design/team-quotas.md gives the
// bound that results and the reasons.
package team
