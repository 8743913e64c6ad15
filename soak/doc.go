// Package soak runs entries and agents as separate processes against stand-ins
// of the platform, injects random faults from outside, and checks the system's
// guarantees by what callers and endpoints observe. It contains only tests; see
// docs/design/soak.md.
package soak
