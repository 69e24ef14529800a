package quota

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// maxSummaryAccounts limits the accounts in a summary, so that it fits a datagram,
	// and maxRepeatedAccounts those whose totals did not change.
	maxSummaryAccounts  = 14
	maxRepeatedAccounts = 3
)

// cellTotals are the units that the nodes of the cell admitted since this process
// started, as far as it knows them. The relay of the cell sends them to the other
// cells.
type cellTotals struct {
	accounts *immutable.SortedMap[model.AccountName, series]
	// changed lists the accounts whose totals changed since the last summary, and
	// summarized is the account at which that summary ended.
	changed    []model.AccountName
	summarized model.AccountName
}

func newCellTotals() cellTotals {
	return cellTotals{accounts: immutable.NewSortedMap[model.AccountName, series](nil)}
}

// withAdmitted adds units of an account.
func (c cellTotals) withAdmitted(account model.AccountName, units float64, at time.Time, window time.Duration) cellTotals {
	if units == 0 {
		return c
	}
	known, _ := c.accounts.Get(account)
	c.accounts = c.accounts.Set(account, known.withSample(at, known.latest()+units, window))
	if !slices.Contains(c.changed, account) {
		c.changed = append(c.changed[:len(c.changed):len(c.changed)], account)
	}
	return c
}

// total returns the units of an account for a summary.
func (c cellTotals) total(account model.AccountName, from time.Time) model.AccountTotal {
	admitted, _ := c.accounts.Get(account)
	return model.AccountTotal{Account: account, Units: admitted.latest(), Recent: admitted.increaseSince(from)}
}

// CellTotals returns the units that the nodes of the cell admitted for all accounts.
func (s State) CellTotals(at time.Time) []model.AccountTotal {
	var totals []model.AccountTotal
	for itr := s.cell.accounts.Iterator(); !itr.Done(); {
		account, _, _ := itr.Next()
		totals = append(totals, s.cell.total(account, at.Add(-s.bounds.QuotaWindow)))
	}
	return totals
}

// TakeCellTotals returns the units that the nodes of the cell admitted for the
// accounts that changed since the last call and, in turn, for the others, and the
// state after the call.
func (s State) TakeCellTotals(at time.Time) (State, []model.AccountTotal) {
	var totals []model.AccountTotal
	from := at.Add(-s.bounds.QuotaWindow)
	changed := s.cell.changed[:min(len(s.cell.changed), maxSummaryAccounts)]
	s.cell.changed = s.cell.changed[len(changed):]
	for _, account := range changed {
		totals = append(totals, s.cell.total(account, from))
	}
	itr := s.cell.accounts.Iterator()
	itr.Seek(s.cell.summarized)
	s.cell.summarized = ""
	limit := min(maxSummaryAccounts, len(totals)+maxRepeatedAccounts)
	for !itr.Done() {
		account, _, _ := itr.Next()
		if len(totals) >= limit {
			s.cell.summarized = account
			break
		}
		if !slices.Contains(changed, account) {
			totals = append(totals, s.cell.total(account, from))
		}
	}
	return s, totals
}
