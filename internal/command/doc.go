// Package command is the command line: one file for each subcommand.
package command
