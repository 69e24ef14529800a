package slice

import "time"

// Figures are the results of a run. Rates are requests a second.
type Figures struct {
	// Good counts requests that kept their targets. The target for the first
	// token allows for the time of the whole prompt on an idle engine.
	Good, SwingGood, EveningGood float64
	// InTarget is the percentage of all requests that are good.
	InTarget float64
	// WorstAccount is the smallest part of its fair share that an account got.
	WorstAccount float64
	RoleChanges  float64
	// Cost is the price of busy time for 1,000 delivered tokens.
	Cost float64
	// Cheap is the percentage of work with a cheap engine.
	Cheap float64
	// Refused counts requests inside the rate that waited too long, and Cut
	// those on engines that were lost.
	Refused, Cut float64
	// StrictGood and StrictSwingGood have no allowance for the prompt.
	StrictGood, StrictSwingGood float64
	// Unended counts requests that did not end exactly once, and HeldSlots the slots in use
	// at the end. Both are 0 if every request ended exactly once.
	Unended, HeldSlots int
}

func (c Config) good(j job) bool {
	allowance := time.Duration(j.Prompt) * c.Engine.PromptToken
	return j.done && j.first <= c.FirstTarget+allowance && 20*j.late <= j.Output-1
}

func (l *loop[P]) figures() Figures {
	s := l.state
	load := s.config.Load
	var f Figures
	var strict, strictSwing, good, swing, evening, busy, tokens, work, cheap float64
	inRate, served := make([]float64, len(load.Weights)), make([]float64, len(load.Weights))
	for id, j := range l.results {
		if l.ends[id] != 1 {
			f.Unended++
		}
		if j.inRate {
			inRate[j.Account] += j.Work()
		}
		if j.done {
			tokens += float64(j.Output)
			work += j.Work()
			if j.cheap {
				cheap += j.Work()
			}
		}
		if !s.config.good(j) {
			continue
		}
		good++
		if j.first <= s.config.FirstTarget {
			strict++
			if j.at >= load.SwingFrom && j.at < load.SwingTo {
				strictSwing++
			}
		}
		served[j.Account] += j.Work()
		switch {
		case j.at >= load.SwingTo:
			evening++
		case j.at >= load.SwingFrom:
			swing++
		}
	}
	for _, m := range s.engines {
		price := 1.0
		if m.cheap {
			price = s.config.Engine.CheapPrice
		}
		busy += price * m.busy.Seconds()
		f.HeldSlots += m.used
	}
	swingTerm := (load.SwingTo - load.SwingFrom).Seconds()
	f.Good, f.SwingGood = good/load.End.Seconds(), swing/swingTerm
	f.EveningGood = evening / (load.End - load.SwingTo).Seconds()
	f.InTarget = 100 * good / float64(len(s.jobs))
	f.WorstAccount = worstAccount(inRate, served)
	f.RoleChanges, f.Refused, f.Cut = float64(s.changes), float64(s.refused), float64(s.cuts)
	f.Cost, f.Cheap = 1000*busy/tokens, 100*cheap/work
	f.StrictGood, f.StrictSwingGood = strict/load.End.Seconds(), strictSwing/swingTerm
	return f
}

// worstAccount returns the smallest part of its fair share that an account got.
// The fair share is the same part of the account's demand inside its rate as
// all accounts together get of theirs.
func worstAccount(inRate, served []float64) float64 {
	var all, demand float64
	for a := range inRate {
		served[a] = min(served[a], inRate[a])
		all += served[a]
		demand += inRate[a]
	}
	worst := 1.0
	for a := range inRate {
		worst = min(worst, served[a]/inRate[a]/(all/demand))
	}
	return worst
}
