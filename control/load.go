package control

import (
	"slices"
	"strings"

	"bulrushpath.example/lib/wire"
)

// loadsTold bounds the targets whose work is told to entry instances: what they
// should avoid are the busiest ones.
const loadsTold = 64

// loadTotals sums the work of all entry instances at each target.
type loadTotals struct {
	sums map[string]*wire.TargetLoad
	// busiest are the targets with the most work, as of the last rank; if they are
	// few, they are ranked for each answer.
	busiest []*wire.TargetLoad
}

// replace takes a new report of an entry instance in place of its last one.
func (t *loadTotals) replace(before, after []*wire.TargetLoad) {
	for _, l := range after {
		sum := t.sums[l.GetTarget()]
		if sum == nil {
			sum = &wire.TargetLoad{Target: l.GetTarget()}
			t.sums[l.GetTarget()] = sum
		}
		sum.Running += l.GetRunning()
		sum.PromptTokens += l.GetPromptTokens()
		sum.MemoryTokens += l.GetMemoryTokens()
		sum.PromptRate += l.GetPromptRate()
	}
	for _, l := range before {
		sum := t.sums[l.GetTarget()]
		subtract(sum, l)
		if sum.GetRunning() == 0 && sum.GetPromptRate() == 0 && sum.GetMemoryTokens() == 0 {
			delete(t.sums, l.GetTarget())
		}
	}
}

func subtract(sum, l *wire.TargetLoad) {
	sum.Running -= l.GetRunning()
	sum.PromptTokens -= l.GetPromptTokens()
	sum.MemoryTokens -= l.GetMemoryTokens()
	sum.PromptRate -= l.GetPromptRate()
}

// rank finds the busiest targets.
func (t *loadTotals) rank() {
	list := make([]*wire.TargetLoad, 0, len(t.sums))
	for _, l := range t.sums {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *wire.TargetLoad) int {
		if a.GetRunning() != b.GetRunning() {
			return int(b.GetRunning()) - int(a.GetRunning())
		}
		return strings.Compare(a.GetTarget(), b.GetTarget())
	})
	t.busiest = list[:min(len(list), loadsTold)]
}

// others returns the work at the busiest targets without that of one instance.
func (t *loadTotals) others(own []*wire.TargetLoad) []*wire.TargetLoad {
	mine := make(map[string]*wire.TargetLoad, len(own))
	for _, l := range own {
		mine[l.GetTarget()] = l
	}
	if len(t.sums) <= loadsTold {
		t.rank()
	}
	out := make([]*wire.TargetLoad, 0, len(t.busiest))
	for _, sum := range t.busiest {
		l := &wire.TargetLoad{
			Target: sum.GetTarget(), Running: sum.GetRunning(), PromptTokens: sum.GetPromptTokens(),
			MemoryTokens: sum.GetMemoryTokens(), PromptRate: sum.GetPromptRate(),
		}
		if m := mine[l.GetTarget()]; m != nil {
			subtract(l, m)
		}
		if l.GetRunning() > 0 || l.GetPromptRate() > 0 {
			out = append(out, l)
		}
	}
	return out
}
