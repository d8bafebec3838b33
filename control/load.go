package control

import (
	"slices"
	"strings"

	"bulrushpath.example/lib/wire"
)

// maxLoadsPerReply limits the targets whose load is sent to an entry instance. The
// busiest ones suffice, since those are the targets that it should avoid.
const maxLoadsPerReply = 64

// loadTotals holds the load of each target, summed over all entry instances.
type loadTotals struct {
	sums map[string]*loadSum
	// busiest holds the targets with the most running requests as of the last call of
	// rank. With at most maxLoadsPerReply targets, each call of others ranks them again.
	busiest []*wire.TargetLoad
}

// loadSum is the total load of one target.
type loadSum struct {
	wire.TargetLoad
	// parts is the number of entry instances whose loads are in the sum, also those of zero,
	// as for a target of which only an adapter was used.
	parts int
}

// replace adds the loads of a new report of an entry instance and subtracts those of
// its previous one.
func (t *loadTotals) replace(before, after []*wire.TargetLoad) {
	for _, l := range after {
		sum := t.sums[l.GetTarget()]
		if sum == nil {
			sum = &loadSum{TargetLoad: wire.TargetLoad{Target: l.GetTarget()}}
			t.sums[l.GetTarget()] = sum
		}
		sum.parts++
		sum.Running += l.GetRunning()
		sum.PromptTokens += l.GetPromptTokens()
		sum.MemoryTokens += l.GetMemoryTokens()
		sum.PromptRate += l.GetPromptRate()
	}
	for _, l := range before {
		sum := t.sums[l.GetTarget()]
		subtract(&sum.TargetLoad, l)
		if sum.parts--; sum.parts == 0 {
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

// busier orders the loads by the running requests, the most first.
func busier(a, b *wire.TargetLoad) int {
	if a.GetRunning() != b.GetRunning() {
		return int(b.GetRunning()) - int(a.GetRunning())
	}
	return strings.Compare(a.GetTarget(), b.GetTarget())
}

// rank updates busiest.
func (t *loadTotals) rank() {
	// list never holds more than twice the loads of a reply, so that it is not sorted as a
	// whole: there may be thousands of targets.
	list := make([]*wire.TargetLoad, 0, min(len(t.sums), 2*maxLoadsPerReply))
	var least *wire.TargetLoad
	for _, sum := range t.sums {
		if len(list) == 2*maxLoadsPerReply {
			slices.SortFunc(list, busier)
			list = list[:maxLoadsPerReply]
			least = list[maxLoadsPerReply-1]
		}
		if least != nil && busier(least, &sum.TargetLoad) < 0 {
			continue
		}
		list = append(list, &sum.TargetLoad)
	}
	slices.SortFunc(list, busier)
	t.busiest = list[:min(len(list), maxLoadsPerReply)]
}

// others returns the loads of the busiest targets without the given share of one
// entry instance.
func (t *loadTotals) others(own []*wire.TargetLoad) []*wire.TargetLoad {
	ownLoads := make(map[string]*wire.TargetLoad, len(own))
	for _, l := range own {
		ownLoads[l.GetTarget()] = l
	}
	if len(t.sums) <= maxLoadsPerReply {
		t.rank()
	}
	out := make([]*wire.TargetLoad, 0, len(t.busiest))
	// One allocation holds all records of a reply.
	records := make([]wire.TargetLoad, len(t.busiest))
	for i, sum := range t.busiest {
		l := &records[i]
		l.Target, l.Running, l.PromptTokens = sum.GetTarget(), sum.GetRunning(), sum.GetPromptTokens()
		l.MemoryTokens, l.PromptRate = sum.GetMemoryTokens(), sum.GetPromptRate()
		if m := ownLoads[l.GetTarget()]; m != nil {
			subtract(l, m)
		}
		if l.GetRunning() > 0 || l.GetPromptRate() > 0 {
			out = append(out, l)
		}
	}
	return out
}
