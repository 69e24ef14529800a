package quota

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

const (
	// writeInterval is the time between two writes of the record.
	// callRetryDelay is the delay after a failed call to the store.
	writeInterval  = time.Second
	callRetryDelay = 200 * time.Millisecond
	// recordThreshold is the fraction of its limit from which on an account is
	// recorded. Accounts below it have enough left in the window to make up for
	// admissions that are lost in a restart.
	recordThreshold = 0.5
)

// RecordsRead reports whether the records were read, so that the admissions of
// ended processes are taken into account.
func (s State) RecordsRead() bool { return s.recordsRead }

// Next returns when the component needs a Tick, or the zero time while a call is
// in flight or no account has a limit.
func (s State) Next() time.Time {
	if s.listing || s.storedRecord.InFlight() || s.idle {
		return time.Time{}
	}
	return s.nextCallAt
}

// handleStoreResponse handles the response to a call to the store.
func (s State) handleStoreResponse(in step.Input[event.Event], view View) State {
	switch e := in.Event.(type) {
	case event.ObjectsListed:
		if s.listing && e.Op == s.lastOp() {
			s.listing, s.recordsRead, s.recordsReadAt = false, true, in.At
			s.nextCallAt = in.At.Add(writeInterval)
			for _, object := range e.Objects {
				if stored, ok := object.Value.(model.QuotaRecord); ok {
					s = s.withRecord(stored, in.At, view.WallTime)
				}
			}
			return s
		}
	case event.ObjectReadFailed:
		if s.listing && e.Op == s.lastOp() {
			s.listing = false
			s.nextCallAt = in.At.Add(callRetryDelay)
			return s
		}
	}
	var result record.Result
	s.storedRecord, result = s.storedRecord.ApplyResponse(in.Event)
	switch result {
	case record.Unrelated:
	case record.Read:
		s.nextCallAt = in.At
	case record.Written:
		s.nextCallAt = in.At.Add(writeInterval)
	default:
		s.nextCallAt = in.At.Add(callRetryDelay)
	}
	return s
}

// withRecord adds the admissions of a record. After the record was written, an
// account is assumed to have continued at the rate of its last second until at,
// up to its limit plus the usable slack.
func (s State) withRecord(stored model.QuotaRecord, at, wallTime time.Time) State {
	age := max(0, wallTime.Sub(stored.At))
	if age >= s.bounds.QuotaWindow {
		return s
	}
	from := at.Add(-s.bounds.QuotaWindow)
	for _, account := range stored.Accounts {
		var past series
		total := 0.0
		for i := len(account.Units) - 1; i >= 0; i-- {
			total += account.Units[i]
			past = append(past, sample{at.Add(-age - time.Duration(i)*time.Second), total})
		}
		if len(account.Units) > 0 {
			room := max(0, account.Limit+s.usableSlack(account.Limit)-past.increaseSince(from))
			past = past.extrapolated(account.Units[0], room, age, at)
		}
		// Of several records, the one with the most units counts.
		if known, _ := s.recorded.Get(account.Account); past.increaseSince(from) >= known.increaseSince(from) {
			s.recorded = s.recorded.Set(account.Account, past)
		}
	}
	return s
}

// extrapolated returns the series continued by units per second over its age up
// to at. It adds at most room in total.
func (s series) extrapolated(units, room float64, age time.Duration, at time.Time) series {
	total := s.latest()
	most := total + room
	for left := age - time.Second; left > -time.Second; left -= time.Second {
		total = min(most, total+units*min(1, left.Seconds()+1))
		s = append(s, sample{at.Add(-max(0, left)), total})
	}
	return s
}

// startDueCall starts the call to the store that is due: it lists the records
// once, and then writes the record of this node at intervals. Where no account has a
// limit, there are no records.
func (s State) startDueCall(at time.Time, view View, out *Out) State {
	s.idle = view.Unlimited && !s.listing && !s.storedRecord.InFlight()
	if s.idle {
		s.recordsRead, s.nextCallAt = true, at
		return s
	}
	if s.listing || s.storedRecord.InFlight() || at.Before(s.nextCallAt) {
		return s
	}
	if !s.recordsRead {
		s.callSeq++
		s.listing = true
		out.Emit(effect.ListObjects{Op: s.lastOp(), Kind: model.KindQuota})
		return s
	}
	s.nextCallAt = at.Add(writeInterval)
	if !view.WritesRecords {
		return s
	}
	accounts := s.accountsNearLimit(at)
	if len(accounts) == 0 {
		return s
	}
	var call effect.Effect
	s.callSeq++
	if s.storedRecord.Valid() {
		s.storedRecord, call = s.storedRecord.Write(s.lastOp(), model.QuotaRecord{At: view.WallTime, Accounts: accounts}, "")
	} else {
		s.storedRecord, call = s.storedRecord.Read(s.lastOp())
	}
	out.Emit(call)
	return s
}

// lastOp identifies the last call.
func (s State) lastOp() model.Op { return model.Op{Part: model.PartQuota, Seq: s.callSeq} }

// accountsNearLimit returns the accounts at or above recordThreshold, with their
// units for each second of the window.
func (s State) accountsNearLimit(at time.Time) []model.QuotaHistory {
	var accounts []model.QuotaHistory
	for itr := s.limits.Iterator(); !itr.Done(); {
		name, limit, _ := itr.Next()
		if s.admitted(name, at)[windowSteps-1] < recordThreshold*limit {
			continue
		}
		account := model.QuotaHistory{Account: name, Limit: limit}
		for after := time.Duration(0); after < s.bounds.QuotaWindow; after += time.Second {
			to := at.Add(-after)
			account.Units = append(account.Units, s.admittedBetween(name, to.Add(-time.Second), to))
		}
		accounts = append(accounts, account)
	}
	return accounts
}

// admittedBetween returns the units that all processes admitted for an account
// between two times.
func (s State) admittedBetween(account model.AccountName, from, to time.Time) float64 {
	past, _ := s.recorded.Get(account)
	total := 0.0
	for _, p := range s.contributions(account, len(past) > 0, to) {
		total += p.increaseBetween(from, to)
	}
	return total
}
