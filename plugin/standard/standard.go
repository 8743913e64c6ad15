// Package standard links the plug-ins that the binary ships with.
package standard

import (
	_ "marjoramlug.example/marjoramlug/plugin/admission/deadline"
	_ "marjoramlug.example/marjoramlug/plugin/admission/open"
	_ "marjoramlug.example/marjoramlug/plugin/log/http"
	_ "marjoramlug.example/marjoramlug/plugin/log/memory"
	_ "marjoramlug.example/marjoramlug/plugin/placement/credit"
	_ "marjoramlug.example/marjoramlug/plugin/placement/random"
	_ "marjoramlug.example/marjoramlug/plugin/placement/twochoices"
	_ "marjoramlug.example/marjoramlug/plugin/queueing/fair"
	_ "marjoramlug.example/marjoramlug/plugin/queueing/fifo"
)
