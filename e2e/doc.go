// Package e2e contains end-to-end tests that run entries, agents and the stand-in
// log as separate processes on loopback and kill, pause and stop them. They run
// in real time and are excluded from the ordinary tests by a build tag:
//
//	go test -tags processes -count=1 -v ./e2e
package e2e
