package intake

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// reportPeriod is the least time between two reports of a gate.
const reportPeriod = 10 * time.Second

// pressure collects how often limits have been reached, for one report a period.
type pressure struct {
	mu      sync.Mutex
	reached map[string]int
	report  func(reached string)
}

// add counts a limit that was reached. The first of a period causes a report at its end.
func (p *pressure) add(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.report == nil {
		return
	}
	if len(p.reached) == 0 {
		p.reached = map[string]int{}
		time.AfterFunc(reportPeriod, p.send)
	}
	p.reached[name]++
}

func (p *pressure) send() {
	p.mu.Lock()
	reached, report := p.reached, p.report
	p.reached = nil
	p.mu.Unlock()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(reached)) {
		fmt.Fprintf(&text, "%s=%d ", name, reached[name])
	}
	report(strings.TrimSuffix(text.String(), " "))
}
