package slice

import "time"

// Default returns the configuration of docs/policy.md with seed 1. The speeds and
// the load were fixed before the first run and are the same for all rows. Only
// Drain was extended afterwards, so that the slowest row completes all requests.
func Default() Config {
	return Config{
		Seed:       1,
		Zones:      []int{7, 7, 6},
		CheapEvery: 3,
		Engine: EngineConfig{
			PromptToken:   100 * time.Microsecond,
			StepBase:      15 * time.Millisecond,
			StepRequest:   500 * time.Microsecond,
			PromptBase:    3 * time.Millisecond,
			PromptPiece:   1024,
			MixedPiece:    256,
			Slots:         64,
			CachePrefixes: 10,
			TransferBase:  5 * time.Millisecond,
			TransferToken: 2 * time.Microsecond,
			ChangeTerm:    5 * time.Second,
			CheapPrice:    0.35,
			PrefillRate:   10000,
			// The decode throughput of an engine with a batch of 40 requests.
			DecodeRate: 1143,
		},
		Load: defaultLoad(),
		Faults: []Fault{
			{At: 100 * time.Second, Engines: []int{8}},
			{At: 160 * time.Second, Engines: []int{8}, Up: true},
			// All cheap engines of the last zone are reclaimed.
			{At: 300 * time.Second, Engines: []int{16, 19}},
		},
		ReportEvery: 250 * time.Millisecond,
		ReportLag:   200 * time.Millisecond,
		ServeEvery:  10 * time.Millisecond,
		AdmitTerm:   2 * time.Second,
		FirstTarget: 450 * time.Millisecond,
		NextTarget:  51 * time.Millisecond,
	}
}

// defaultLoad returns phases whose rates are 70% of the capacity of 20 engines
// with evenly distributed work.
func defaultLoad() Load {
	l := Load{
		Phases:    []Phase{{60 * time.Second, 95, 400, 120}},
		SwingFrom: 60 * time.Second, SwingTo: 240 * time.Second,
		Weights:    []float64{0.4, 0.25, 0.15, 0.1, 0.1},
		CheapShare: []float64{0.3, 0.3, 0.5, 0, 0.2},
		Noisy:      4, NoisyExtra: 4,
		NoisyFrom: 150 * time.Second, NoisyTo: 270 * time.Second,
		End: 360 * time.Second, Drain: 3 * time.Minute,
	}
	for at := l.SwingFrom; at < l.SwingTo; at += time.Minute {
		l.Phases = append(l.Phases,
			Phase{at + 30*time.Second, 40, 3000, 60}, Phase{at + time.Minute, 30, 300, 500})
	}
	l.Phases = append(l.Phases, Phase{l.End, 12, 6000, 600})
	return l
}
