package command

import (
	"fmt"
	"runtime/debug"
)

// Version is the release that the binary belongs to.
const Version = "0.1.0"

type versionCommand struct{}

// Run prints the version and the Go release that built the binary.
func (versionCommand) Run() error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Printf("marjoramlug %s (%s)\n", Version, goVersion)
	return nil
}
