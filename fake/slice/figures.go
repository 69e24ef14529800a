package slice

import "time"

// Figures are the results of a run. Rates are in requests per second.
type Figures struct {
	// Good is the goodput, the rate of requests that met their targets. The
	// target for the first token is extended by the prefill time of the prompt on
	// an idle engine.
	Good, SwingGood, EveningGood float64
	// InTarget is the percentage of all requests that met their targets.
	InTarget float64
	// WorstAccount is the smallest fraction of its fair share that a client
	// account received.
	WorstAccount float64
	RoleChanges  float64
	// Cost is the price of the busy time per 1,000 delivered tokens.
	Cost float64
	// Cheap is the percentage of work that used a cheap engine.
	Cheap float64
	// Refused counts requests within their account's rate limit that were
	// refused, and Cut requests that were interrupted by an engine crash.
	Refused, Cut float64
	// StrictGood and StrictSwingGood do not extend the target for the first
	// token.
	StrictGood, StrictSwingGood float64
	// Unended counts requests that did not end exactly once, and HeldSlots the
	// slots still in use at the end. Both are 0 in a correct run.
	Unended, HeldSlots int
}

// meetsTargets reports whether a request completed within its targets. Up to 5% of
// the tokens after the first may be late.
func (c Config) meetsTargets(j job) bool {
	allowance := time.Duration(j.Prompt) * c.Engine.PromptToken
	return j.completed && j.firstToken <= c.FirstTarget+allowance && 20*j.lateTokens <= j.Output-1
}

func (l *simulation[P]) figures() Figures {
	s := l.state
	load := s.config.Load
	var f Figures
	var strict, strictSwing, good, swing, evening, busy, tokens, work, cheap float64
	withinRate, served := make([]float64, len(load.Weights)), make([]float64, len(load.Weights))
	for id, j := range l.results {
		if l.ends[id] != 1 {
			f.Unended++
		}
		if j.withinRate {
			withinRate[j.Account] += j.Work()
		}
		if j.completed {
			tokens += float64(j.Output)
			work += j.Work()
			if j.usedCheap {
				cheap += j.Work()
			}
		}
		if !s.config.meetsTargets(j) {
			continue
		}
		good++
		if j.firstToken <= s.config.FirstTarget {
			strict++
			if j.arrivedAt >= load.SwingFrom && j.arrivedAt < load.SwingTo {
				strictSwing++
			}
		}
		served[j.Account] += j.Work()
		switch {
		case j.arrivedAt >= load.SwingTo:
			evening++
		case j.arrivedAt >= load.SwingFrom:
			swing++
		}
	}
	for _, m := range s.engines {
		price := 1.0
		if m.cheap {
			price = s.config.Engine.CheapPrice
		}
		busy += price * m.busyTime.Seconds()
		f.HeldSlots += m.usedSlots
	}
	swingDuration := (load.SwingTo - load.SwingFrom).Seconds()
	f.Good, f.SwingGood = good/load.End.Seconds(), swing/swingDuration
	f.EveningGood = evening / (load.End - load.SwingTo).Seconds()
	f.InTarget = 100 * good / float64(len(s.jobs))
	f.WorstAccount = worstAccount(withinRate, served)
	f.RoleChanges, f.Refused, f.Cut = float64(s.roleChanges), float64(s.refused), float64(s.interrupted)
	f.Cost, f.Cheap = 1000*busy/tokens, 100*cheap/work
	f.StrictGood, f.StrictSwingGood = strict/load.End.Seconds(), strictSwing/swingDuration
	return f
}

// worstAccount returns the smallest fraction of its fair share that an account
// received. The fair share of an account is its demand within its rate limit, scaled
// by the fraction of the total such demand that was served.
func worstAccount(withinRate, served []float64) float64 {
	var total, demand float64
	for a := range withinRate {
		served[a] = min(served[a], withinRate[a])
		total += served[a]
		demand += withinRate[a]
	}
	worst := 1.0
	for a := range withinRate {
		worst = min(worst, served[a]/withinRate[a]/(total/demand))
	}
	return worst
}
