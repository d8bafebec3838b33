package control

import "bulrushpath.example/lib/wire"

const (
	// maxPrompts limits the cached prompts that the leader keeps, and maxPromptsPerReply
	// those in one reply.
	maxPrompts         = 4096
	maxPromptsPerReply = 512
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
	if n := len(l.items) - maxPrompts; n > 0 {
		l.items = append([]reportedPrompt(nil), l.items[n:]...)
	}
}

// since returns up to maxPromptsPerReply prompts that instances other than entry have
// reported, starting with the first one whose number is above the given one. last is the
// number to pass as after in the next call.
func (l *promptLog) since(entry string, after uint64) (out []*wire.CachedPrompt, last uint64) {
	first := l.sequence - uint64(len(l.items))
	after = min(max(after, first), l.sequence)
	for _, x := range l.items[after-first:] {
		if len(out) == maxPromptsPerReply {
			break
		}
		after++
		if x.entry != entry {
			out = append(out, x.prompt)
		}
	}
	return out, after
}
