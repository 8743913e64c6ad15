// Package soak runs the product's programs as separate processes against
// stand-ins of the platform, disturbs them from outside, and checks its
// promises by what callers and endpoints see. All of it is in its tests; see
// docs/design/soak.md.
package soak
