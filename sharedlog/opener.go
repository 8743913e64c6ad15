package sharedlog

import "marjoramlug.example/marjoramlug/settings"

// Opener is the interface that modules of kind "log" implement.
type Opener interface {
	// Open returns the log that the settings specify. It does not wait for the log
	// to become reachable.
	Open(s settings.Platform) (Log, error)
}
