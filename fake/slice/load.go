package slice

import (
	"math/rand/v2"
	"time"
)

func (l Load) phase(at time.Duration) Phase {
	for _, p := range l.Phases {
		if at < p.Until {
			return p
		}
	}
	return l.Phases[len(l.Phases)-1]
}

// draw returns the requests, which depend on the load and the seed only.
func (l Load) draw(seed uint64) []job {
	var jobs []job
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); at < l.End; {
		p := l.phase(at)
		extra := 0.0
		if at >= l.NoisyFrom && at < l.NoisyTo {
			extra = l.NoisyExtra * l.Weights[l.Noisy]
		}
		at += time.Duration(rng.ExpFloat64() / (p.Rate * (1 + extra)) * float64(time.Second))
		j := job{id: len(jobs), at: at, inRate: true}
		j.Restartable = rng.Float64() < 0.7
		draw := rng.Float64() * (1 + extra)
		j.Account = l.Noisy
		if draw < 1 {
			for j.Account = 0; draw >= l.Weights[j.Account] && j.Account < l.Noisy; j.Account++ {
				draw -= l.Weights[j.Account]
			}
		} else {
			j.inRate = false
		}
		j.Shared = int(0.4 * p.Prompt)
		j.Prompt = max(j.Shared, int(p.Prompt*(0.5+rng.Float64())))
		j.Output = int(p.Output * (0.5 + rng.Float64()))
		j.Key = uint64(j.Account*12+rng.IntN(12)+1)*1000003 + uint64(p.Prompt)
		jobs = append(jobs, j)
	}
	return jobs
}
