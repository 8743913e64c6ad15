// Package open is the admission baseline: it admits every job.
package open

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "admission.open"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

// Admission admits every job.
type Admission struct{}

// New returns an admission without limits.
func New() *Admission { return &Admission{} }

// Configure does nothing: there is no limit to set.
func (*Admission) Configure(config.Service) {}

// Admit returns nil: the job is admitted.
func (*Admission) Admit(time.Time, *message.Submit, dispatch.Load) *dispatch.Refusal { return nil }
