package claim

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/model"
)

// entryOverhead is the size of an entry's JSON text without the variable parts:
// field names, two hexadecimal hashes, time, state and punctuation.
const entryOverhead = 320

// claimID identifies a claim.
type claimID struct {
	account model.AccountName
	key     string
}

func claimIDOf(e model.ClaimEntry) claimID { return claimID{e.Account, e.Key} }

func (a claimID) compare(b claimID) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.key, b.key))
}

// table is the content of a Claim object at a version.
type table struct {
	version model.Version
	// entries are sorted by id.
	entries []model.ClaimEntry
	// bytes is an upper bound of the size of the JSON text.
	bytes int
	// oldest is the earliest WrittenAt, or a time before it.
	oldest time.Time
}

func newTable(version model.Version, entries []model.ClaimEntry) table {
	byID := func(a, b model.ClaimEntry) int { return claimIDOf(a).compare(claimIDOf(b)) }
	if !slices.IsSortedFunc(entries, byID) {
		entries = slices.Clone(entries)
		slices.SortStableFunc(entries, byID)
	}
	t := table{version: version, entries: entries}
	for _, e := range entries {
		t = t.withCount(e, 1)
	}
	return t
}

func (t table) find(want claimID) (model.ClaimEntry, bool) {
	index, ok := slices.BinarySearchFunc(t.entries, want, func(e model.ClaimEntry, want claimID) int {
		return claimIDOf(e).compare(want)
	})
	if !ok {
		return model.ClaimEntry{}, false
	}
	return t.entries[index], true
}

// WithVersion returns the table with another version.
func (t table) WithVersion(version model.Version) table {
	t.version = version
	return t
}

// WithChanges returns the table with entries replaced or added.
func (t table) WithChanges(changes []model.ClaimEntry) table {
	changes = slices.Clone(changes)
	slices.SortFunc(changes, func(a, b model.ClaimEntry) int { return claimIDOf(a).compare(claimIDOf(b)) })
	old := t.entries
	next := table{version: t.version, bytes: t.bytes, oldest: t.oldest}
	next.entries = make([]model.ClaimEntry, 0, len(old)+len(changes))
	for _, change := range changes {
		index, found := slices.BinarySearchFunc(old, claimIDOf(change), func(e model.ClaimEntry, want claimID) int {
			return claimIDOf(e).compare(want)
		})
		next.entries = append(next.entries, old[:index]...)
		if found {
			next = next.withCount(old[index], -1)
			index++
		}
		next.entries = append(next.entries, change)
		next = next.withCount(change, 1)
		old = old[index:]
	}
	next.entries = append(next.entries, old...)
	return next
}

// WithoutOlder returns the table without the entries last changed before cutoff.
func (t table) WithoutOlder(cutoff time.Time) table {
	if len(t.entries) == 0 || !t.oldest.Before(cutoff) {
		return t
	}
	next := table{version: t.version, entries: make([]model.ClaimEntry, 0, len(t.entries))}
	for _, e := range t.entries {
		if !e.WrittenAt.Before(cutoff) {
			next.entries = append(next.entries, e)
			next = next.withCount(e, 1)
		}
	}
	return next
}

func (t table) withCount(e model.ClaimEntry, sign int) table {
	t.bytes += sign * sizeOf(e)
	if sign > 0 && (t.oldest.IsZero() || e.WrittenAt.Before(t.oldest)) {
		t.oldest = e.WrittenAt
	}
	return t
}

// sizeOf returns an upper bound of the size of an entry's JSON text.
func sizeOf(e model.ClaimEntry) int {
	size := entryOverhead + stringSize(string(e.Account)) + stringSize(e.Key) + stringSize(e.Nonce)
	if e.State == model.ClaimAnswered {
		// Base64 encodes three bytes as four.
		size += answerOverhead + stringSize(e.Answer.ContentType) + (len(e.Answer.Body)+2)/3*4
	}
	return size
}

// answerOverhead is the size of a response's JSON text without the variable
// parts.
const answerOverhead = 120

// stringSize returns an upper bound of the size of a text as a JSON string,
// without its quotation marks.
func stringSize(text string) int {
	size := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"', c == '\\':
			size++
		case c < 0x20, c >= 0x7f, c == '<', c == '>', c == '&':
			// Escaped as \u followed by four digits.
			size += 5
		}
	}
	return size
}
