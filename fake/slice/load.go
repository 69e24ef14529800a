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

// generate returns the requests of a run, which depend only on the load and the seed.
func (l Load) generate(seed uint64) []job {
	var jobs []job
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); at < l.End; {
		p := l.phase(at)
		noise := 0.0
		if at >= l.NoisyFrom && at < l.NoisyTo {
			noise = l.NoisyExtra * l.Weights[l.Noisy]
		}
		at += time.Duration(rng.ExpFloat64() / (p.Rate * (1 + noise)) * float64(time.Second))
		j := job{id: len(jobs), arrivedAt: at, withinRate: true}
		j.Restartable = rng.Float64() < 0.7
		pick := rng.Float64() * (1 + noise)
		j.Account = l.Noisy
		if pick < 1 {
			for j.Account = 0; pick >= l.Weights[j.Account] && j.Account < l.Noisy; j.Account++ {
				pick -= l.Weights[j.Account]
			}
		} else {
			j.withinRate = false
		}
		j.Shared = int(0.4 * p.Prompt)
		j.Prompt = max(j.Shared, int(p.Prompt*(0.5+rng.Float64())))
		j.Output = int(p.Output * (0.5 + rng.Float64()))
		j.Key = uint64(j.Account*12+rng.IntN(12)+1)*1000003 + uint64(p.Prompt)
		jobs = append(jobs, j)
	}
	return jobs
}
