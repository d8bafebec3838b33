package control

import "bulrushpath.example/lib/wire"

const (
	// promptsKept bounds the cached prompts that the leader remembers, and
	// promptsTold those in one answer.
	promptsKept = 4096
	promptsTold = 512
)

// promptLog holds which prompts entry instances have sent to which targets, so
// that each instance knows where a prompt is cached.
type promptLog struct {
	// items are in the order of their reports; the last one has the number sequence.
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
	if n := len(l.items) - promptsKept; n > 0 {
		l.items = append([]reportedPrompt(nil), l.items[n:]...)
	}
}

// since returns what other instances reported after held, and the number of the
// last one told.
func (l *promptLog) since(entry string, held uint64) (out []*wire.CachedPrompt, last uint64) {
	first := l.sequence - uint64(len(l.items))
	held = min(max(held, first), l.sequence)
	for _, x := range l.items[held-first:] {
		if len(out) == promptsTold {
			break
		}
		held++
		if x.entry != entry {
			out = append(out, x.prompt)
		}
	}
	return out, held
}
