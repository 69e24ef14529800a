package slice

import (
	"strings"
	"testing"
	"time"
)

// TestValidate guards against a configuration that makes a run panic, never terminate,
// or return NaN figures.
func TestValidate(t *testing.T) {
	if err := Default().Validate(); err != nil {
		t.Errorf("Default().Validate() = %v", err)
	}
	for want, change := range map[string]func(*Config){
		"Zones []":                  func(c *Config) { c.Zones = nil },
		"CheapEvery 0":              func(c *Config) { c.CheapEvery = 0 },
		"Engine.Slots 0":            func(c *Config) { c.Engine.Slots = 0 },
		"Load.Phases: must contain": func(c *Config) { c.Load.Phases = nil },
		"Load.Phases: rate 0":       func(c *Config) { c.Load.Phases = []Phase{{time.Second, 0, 1, 1}} },
		"Load.Noisy 5":              func(c *Config) { c.Load.Noisy = 5 },
		"Load.End 0s":               func(c *Config) { c.Load.End = 0 },
		"Load.CheapShare: got 1":    func(c *Config) { c.Load.CheapShare = []float64{1} },
		"Load.Weights: weight 0":    func(c *Config) { c.Load.Weights = []float64{1, 1, 1, 1, 0} },
		"ReportEvery 0s":            func(c *Config) { c.ReportEvery = 0 },
		"Faults: engine 20":         func(c *Config) { c.Faults = []Fault{{Engines: []int{20}}} },
	} {
		c := Default()
		change(&c)
		if _, err := Rows()[0].Run(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %q, got %v", want, err)
		}
	}
}
