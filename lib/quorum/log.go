package quorum

import (
	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// entryLog holds the log entries in memory; earlier ones are covered by a snapshot.
type entryLog struct {
	// base is the index of the entry before entries[0]; 0 at the start of the log.
	base     uint64
	baseTerm uint64
	// baseMillis is the time of the entry at base in Unix milliseconds.
	baseMillis int64
	// entries have consecutive indexes from base+1.
	entries []*wire.LogEntry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) lastMillis() int64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].UnixMillis
	}
	return l.baseMillis
}

// term returns the term of the entry at index; ok is false if it is not in memory.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// at returns the entry at index, which must be in memory.
func (l *entryLog) at(index uint64) *wire.LogEntry { return l.entries[index-l.base-1] }

// slice returns entries beginning at from: at least one, more only up to maxBytes in total.
func (l *entryLog) slice(from uint64, maxBytes int) []*wire.LogEntry {
	if from > l.last() {
		return nil
	}
	rest := l.entries[from-l.base-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *entryLog) append(e ...*wire.LogEntry) { l.entries = append(l.entries, e...) }

// truncate removes the entries at from and later. The rest is copied, because messages
// being sent still refer to the old array.
func (l *entryLog) truncate(from uint64) {
	n := from - l.base - 1
	l.entries = append([]*wire.LogEntry(nil), l.entries[:n]...)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	e := l.at(index)
	rest := l.entries[index-l.base:]
	l.base, l.baseTerm, l.baseMillis = index, e.Term, e.UnixMillis
	l.entries = append([]*wire.LogEntry(nil), rest...)
}

// tail returns how many of the entries up to and including index may stay in memory, the latest ones,
// if there may be at most maxEntries of them with maxBytes of commands.
func (l *entryLog) tail(index, maxEntries uint64, maxBytes int64) (n uint64) {
	for size := int64(0); n < maxEntries && l.base+n < index; n++ {
		if size += int64(len(l.at(index - n).Command)); size > maxBytes {
			break
		}
	}
	return n
}

// reset empties the log; the next entry has the index after the given one.
func (l *entryLog) reset(index, term uint64, millis int64) {
	*l = entryLog{base: index, baseTerm: term, baseMillis: millis}
}
