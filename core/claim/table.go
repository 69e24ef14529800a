package claim

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/model"
)

// entryBytes is the size of an entry's JSON text without its variable parts:
// field names, two hexadecimal hashes, time, state and punctuation.
const entryBytes = 320

// id identifies a claim.
type id struct {
	account model.AccountName
	key     string
}

func idOf(e model.ClaimEntry) id { return id{e.Account, e.Key} }

func (a id) compare(b id) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.key, b.key))
}

// table is the content of a Claim object at a version of the store.
type table struct {
	version model.Version
	// entries are sorted by id.
	entries []model.ClaimEntry
	// bytes is an upper estimate of the size of the JSON text.
	bytes int
	// oldest is the earliest WrittenAt, or earlier.
	oldest time.Time
}

func newTable(version model.Version, entries []model.ClaimEntry) table {
	byID := func(a, b model.ClaimEntry) int { return idOf(a).compare(idOf(b)) }
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

// find returns the entry of a claim.
func (t table) find(want id) (model.ClaimEntry, bool) {
	at, ok := slices.BinarySearchFunc(t.entries, want, func(e model.ClaimEntry, want id) int {
		return idOf(e).compare(want)
	})
	if !ok {
		return model.ClaimEntry{}, false
	}
	return t.entries[at], true
}

// WithVersion returns the same content at another version.
func (t table) WithVersion(version model.Version) table {
	t.version = version
	return t
}

// WithChanges returns the table with entries replaced or added.
func (t table) WithChanges(changes []model.ClaimEntry) table {
	changes = slices.Clone(changes)
	slices.SortFunc(changes, func(a, b model.ClaimEntry) int { return idOf(a).compare(idOf(b)) })
	old := t.entries
	next := table{version: t.version, bytes: t.bytes, oldest: t.oldest}
	next.entries = make([]model.ClaimEntry, 0, len(old)+len(changes))
	for _, change := range changes {
		at, found := slices.BinarySearchFunc(old, idOf(change), func(e model.ClaimEntry, want id) int {
			return idOf(e).compare(want)
		})
		next.entries = append(next.entries, old[:at]...)
		if found {
			next = next.withCount(old[at], -1)
			at++
		}
		next.entries = append(next.entries, change)
		next = next.withCount(change, 1)
		old = old[at:]
	}
	next.entries = append(next.entries, old...)
	return next
}

// WithoutOlder returns the table without the entries last changed before a
// time.
func (t table) WithoutOlder(than time.Time) table {
	if len(t.entries) == 0 || !t.oldest.Before(than) {
		return t
	}
	next := table{version: t.version, entries: make([]model.ClaimEntry, 0, len(t.entries))}
	for _, e := range t.entries {
		if !e.WrittenAt.Before(than) {
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

// sizeOf returns an upper estimate of the size of an entry's JSON text.
func sizeOf(e model.ClaimEntry) int {
	size := entryBytes + textBytes(string(e.Account)) + textBytes(e.Key) + textBytes(e.Nonce)
	if e.State == model.ClaimAnswered {
		// Base64 turns three bytes into four.
		size += answerBytes + textBytes(e.Answer.ContentType) + (len(e.Answer.Body)+2)/3*4
	}
	return size
}

// answerBytes is the size of an answer's JSON text without its variable parts.
const answerBytes = 120

// textBytes returns an upper bound of the size of a text as a JSON string.
func textBytes(text string) int {
	size := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"', c == '\\':
			size++
		case c < 0x20, c >= 0x7f, c == '<', c == '>', c == '&':
			// Written as \u followed by four digits.
			size += 5
		}
	}
	return size
}
