package sharedlog

import "marjoramlug.example/marjoramlug/settings"

// Opener is what a plug-in of kind "log" provides.
type Opener interface {
	// Open connects to the log that the settings name. It does not wait for the
	// log to be reachable.
	Open(s settings.Platform) (Log, error)
}
