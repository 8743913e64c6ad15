package ownership_test

import (
	"fmt"

	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

func serviceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("service-%d", i)
	}
	return names
}

// bigState returns a state with the given numbers of members and services; each
// service has one owner.
func bigState(members, services int) *ownership.State {
	s := ownership.NewState()
	at := sharedlog.Offset(0)
	for i := range members {
		at++
		s.Apply(at, join(fmt.Sprintf("m%d", i), fmt.Sprintf("10.0.0.%d", i), at-1, ""))
	}
	for _, name := range serviceNames(services) {
		at++
		s.SetService(at, name, 1, "")
	}
	return s
}

// find returns the first action of a type.
func find[T ownership.Action](actions []ownership.Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}
