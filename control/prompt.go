package control

import "bulrushpath.example/lib/wire"

const (
	// maxPrompts limits the cached prompts that the leader keeps, and maxPromptsPerReply
	// those in one reply.
	maxPrompts         = 4096
	maxPromptsPerReply = 512
	// fullPromptEntries is the number of entry instances up to which a reply contains
	// maxPromptsPerReply. At 300 instances, replies of this size took 41 Mbit/s of the
	// leader's 100.
	fullPromptEntries = 100
)

// promptLog records which prompts entry instances have sent to which targets. It tells
// each instance where prompts of the others are cached.
type promptLog struct {
	// items is in the order of the reports. Items are numbered consecutively, and
	// sequence is the number of the last one.
	items    []reportedPrompt
	sequence uint64
}

type reportedPrompt struct {
	entry  string
	prompt *wire.CachedPrompt
}

func (l *promptLog) add(entry string, prompts []*wire.CachedPrompt) {
	for _, p := range prompts {
		l.items = append(l.items, reportedPrompt{entry: entry, prompt: p})
		l.sequence++
	}
	// The oldest are removed many at a time, so that not every report copies the list.
	if n := len(l.items) - maxPrompts; n > maxPrompts {
		kept := copy(l.items, l.items[n:])
		clear(l.items[kept:])
		l.items = l.items[:kept]
	}
}

// promptsPerReply returns the maximum number of cached prompts in a reply to one of the given
// number of entry instances. It limits what all replies together contain: beyond
// fullPromptEntries, what each instance reports goes to all others in shares.
func promptsPerReply(entries int) int {
	return maxPromptsPerReply * fullPromptEntries / max(entries, fullPromptEntries)
}

// since returns up to limit prompts that instances other than entry have reported, starting with
// the first one whose number is above the given one, or with later ones if the limit is below
// maxPromptsPerReply and there are more: the newest are cached for the longest time. last is the
// number to pass as after in the next call.
func (l *promptLog) since(entry string, after uint64, limit int) (out []*wire.CachedPrompt, last uint64) {
	kept := min(len(l.items), maxPrompts)
	if limit < maxPromptsPerReply {
		kept = min(kept, limit)
	}
	first := l.sequence - uint64(kept)
	after = min(max(after, first), l.sequence)
	newer := l.items[len(l.items)-int(l.sequence-after):]
	out = make([]*wire.CachedPrompt, 0, min(len(newer), limit))
	for _, x := range newer {
		if len(out) == limit {
			break
		}
		after++
		if x.entry != entry {
			out = append(out, x.prompt)
		}
	}
	return out, after
}
