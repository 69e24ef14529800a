package retry

import (
	"testing"
	"time"
)

// TestBudget guards against retries that multiply the load of an outage, and
// against a budget that is not replenished.
func TestBudget(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		requests int
		// spent is the number of retries taken at the start.
		spent int
		after time.Duration
		want  int
	}{
		"no requests":             {0, 0, 0, 30},
		"ten percent":             {1000, 0, 0, 130},
		"fraction is not rounded": {9, 0, 0, 30},
		"spent":                   {1000, 130, 9 * time.Second, 0},
		"refilled":                {1000, 130, 10 * time.Second, 30},
		"long pause":              {1000, 130, time.Hour, 30},
		"clock steps back":        {1000, 130, -time.Minute, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := New(DefaultLimits())
			for range c.requests {
				b = b.WithRequest(start)
			}
			take := func(at time.Time, limit int) int {
				for taken := range limit {
					var ok bool
					if b, _, ok = b.WithRetry(at); !ok {
						return taken
					}
				}
				return limit
			}
			if got := take(start, c.spent); got != c.spent {
				t.Fatalf("%d retries at the start, want %d", got, c.spent)
			}
			if got := take(start.Add(c.after), 1000); got != c.want {
				t.Errorf("%d retries, want %d", got, c.want)
			}
		})
	}
}

// TestWithoutRetry guards against a retry that is returned but stays spent, and against
// one that is returned twice or to a second in which it was not counted.
func TestWithoutRetry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		// laterAfter is when another retry is counted, and returnedAfter when the first
		// one is returned.
		laterAfter, returnedAfter time.Duration
		want                      int
	}{
		"at once":         {0, 0, 1},
		"next second":     {time.Second, time.Second, 1},
		"last second":     {9 * time.Second, 9 * time.Second, 1},
		"left the window": {10 * time.Second, 10 * time.Second, 1},
		"long pause":      {time.Hour, time.Hour, 1},
		"clock back":      {-time.Minute, -time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b, token, ok := New(Limits{Fixed: 3}).WithRetry(start)
			if !ok || !token.Taken() {
				t.Fatal("no retry at the start")
			}
			b, _, _ = b.WithRetry(start.Add(c.laterAfter))
			b = b.WithoutRetry(Token{}).WithoutRetry(token)
			if _, retries, _ := b.Usage(start.Add(c.returnedAfter)); retries != c.want {
				t.Errorf("%d retries are counted, want %d", retries, c.want)
			}
		})
	}
}
