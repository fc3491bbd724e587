// Command celeryhook routes requests to servers that own their keys
// exclusively.
package main

import (
	"os"

	"celeryhook.example/celeryhook/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
