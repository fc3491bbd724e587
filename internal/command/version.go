package command

import (
	"fmt"
	"runtime/debug"
)

// version is the release, set at build time with -ldflags "-X".
var version = "development"

type versionCommand struct{ streams }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	revision, toolchain := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		toolchain = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Fprintf(c.out, "celeryhook %s, revision %s, %s\n", version, revision, toolchain)
	return nil
}
