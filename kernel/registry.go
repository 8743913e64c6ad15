// Package kernel contains the registry of modules, a map that keeps the order of
// insertion, a sleep that a context can cancel, and the clock of timeouts.
package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// ModuleID identifies a module as "kind.name". For example, "placement.credit" is
// the module in package plugin/placement/credit.
type ModuleID string

// Kind returns the part before the first dot.
func (id ModuleID) Kind() string {
	kind, _, _ := strings.Cut(string(id), ".")
	return kind
}

// Module describes an implementation of the interface of its kind, which Load
// selects by its ID.
type Module struct {
	ID ModuleID
	// New returns a new instance or a factory. Its value must implement the
	// interface that the module's kind requires.
	New func() any
}

var (
	registryMu sync.RWMutex
	registry   = map[ModuleID]Module{}
)

// Register adds a module. It panics when the ID is empty, New is nil or the ID
// is already registered: these are programming errors, found at process start.
func Register(m Module) {
	if m.ID == "" || m.New == nil {
		panic("kernel: module without ID or constructor")
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[m.ID]; taken {
		panic(fmt.Sprintf("kernel: module %q registered twice", m.ID))
	}
	registry[m.ID] = m
}

// Modules returns the IDs of the modules of one kind in alphabetical order.
func Modules(kind string) []ModuleID {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var ids []ModuleID
	for id := range registry {
		if id.Kind() == kind {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Load calls New of the module with the given ID and returns its value. T is the
// interface that the module's kind requires. Load returns an error when the ID
// is unknown or the value does not implement T.
func Load[T any](id ModuleID) (T, error) {
	var zero T
	registryMu.RLock()
	m, ok := registry[id]
	registryMu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("no module %q; known: %v", id, Modules(id.Kind()))
	}
	instance, ok := m.New().(T)
	if !ok {
		return zero, fmt.Errorf("module %q does not implement the interface that its kind requires", id)
	}
	return instance, nil
}
