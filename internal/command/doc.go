// Package command implements the command line. Each subcommand has its own
// file.
package command
