package replog

import "slices"

// entryLog contains the entries after base. Of the entry at base, only the term is
// known.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
}

func (l *entryLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, if it is known.
func (l *entryLog) term(i Index) (Term, bool) {
	if i < l.base || i > l.last() {
		return 0, false
	}
	if i == l.base {
		return l.baseTerm, true
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries in (after, upTo]. They are copied because later appends
// may overwrite the log's own slice.
func (l *entryLog) slice(after, upTo Index) []Entry {
	return slices.Clone(l.entries[after-l.base : upTo-l.base])
}

// entriesAfter returns the next entries after the index, limited to maxEntries and
// maxBytes. It returns at least one entry if there is any, even if that entry
// alone exceeds maxBytes.
func (l *entryLog) entriesAfter(after Index, maxEntries, maxBytes int) []Entry {
	size, end := 0, after
	for end < l.last() && int(end-after) < maxEntries {
		size += len(l.entries[end-l.base].Data)
		if size > maxBytes && end > after {
			break
		}
		end++
	}
	return l.slice(after, end)
}

// firstWithin returns the lowest index after which the entries up to upTo have at most
// maxBytes.
func (l *entryLog) firstWithin(upTo Index, maxBytes int) Index {
	after := upTo
	for size := 0; after > l.base; after-- {
		if size += len(l.entries[after-l.base-1].Data); size > maxBytes {
			break
		}
	}
	return after
}

func (l *entryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate removes all entries after i.
func (l *entryLog) truncate(i Index) { l.entries = l.entries[:i-l.base] }

// compact discards the entries up to i. It copies the rest to release the memory
// of the discarded ones.
func (l *entryLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok {
		return
	}
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// reset discards all entries; the log continues after a snapshot at index i.
func (l *entryLog) reset(i Index, t Term) { *l = entryLog{base: i, baseTerm: t} }

// firstOfTerm returns the first index in the log with the same term as entry i.
func (l *entryLog) firstOfTerm(i Index) Index {
	t, _ := l.term(i)
	for i > l.base+1 {
		if p, _ := l.term(i - 1); p != t {
			break
		}
		i--
	}
	return i
}
