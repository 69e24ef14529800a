package meter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/meter"
)

// TestScrape guards against counters that do not exist before their first use,
// so that a rate misses the first increment, observations that increment the
// wrong series, and gauges with outdated values.
func TestScrape(t *testing.T) {
	values := meter.GaugeValues{}
	m := meter.New(func() meter.GaugeValues { return values })
	for _, reason := range model.Reasons() {
		if want := `caroblane_refusals_total{reason="` + reason.String() + `"} 0`; !strings.Contains(scrape(m), want) {
			t.Errorf("no %s", want)
		}
	}
	for _, reason := range model.AbortReasons() {
		if want := `caroblane_aborted_responses_total{reason="` + reason.String() + `"} 0`; !strings.Contains(scrape(m), want) {
			t.Errorf("no %s", want)
		}
	}
	m.CountAbort(model.AbortStreamTruncated)
	m.CountAbort(-1)
	m.Execute(context.Background(), effect.CountRefusal{Reason: model.RateLimited})
	m.Execute(context.Background(), effect.CountRetry{Reason: model.RetryBroken})
	m.Execute(context.Background(), effect.CountRefusal{Reason: -1})
	m.CountEvent(event.Tick{})
	m.CountEvent(event.Tick{})
	m.CountEffect(effect.Finish{})
	m.FirstToken(400 * time.Millisecond)
	m.BetweenTokens(51 * time.Millisecond)
	values = meter.GaugeValues{Version: 7, Fresh: true, LeaseHeld: true, Open: 3, Queued: 4, Faults: 5}
	text := scrape(m)
	for _, want := range []string{
		`caroblane_refusals_total{reason="RateLimited"} 1`,
		`caroblane_aborted_responses_total{reason="StreamTruncated"} 1`,
		`caroblane_retries_total{reason="RetryBroken"} 1`,
		`caroblane_retries_total{reason="RetryResumed"} 0`,
		`caroblane_control_events_total{event="Tick"} 2`,
		`caroblane_control_effects_total{effect="Finish"} 1`,
		`caroblane_first_token_seconds_bucket{le="0.3"} 0`,
		`caroblane_first_token_seconds_bucket{le="0.4"} 1`,
		`caroblane_between_tokens_seconds_bucket{le="0.051"} 1`,
		"caroblane_config_version 7", "caroblane_fresh 1", "caroblane_lease_held 1",
		"caroblane_open_requests 3", "caroblane_control_queue 4", "caroblane_config_faults 5",
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
}

func scrape(m *meter.Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

// TestOperationsPage guards against a metric or reason that was added without a
// description in the operations page.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, line := range strings.Split(scrape(meter.New(func() meter.GaugeValues { return meter.GaugeValues{} })), "\n") {
		if name, ok := strings.CutPrefix(line, "# TYPE "); ok {
			names = append(names, strings.Fields(name)[0])
		}
	}
	for _, reason := range model.Reasons() {
		names = append(names, "`"+reason.String()+"`")
	}
	for _, reason := range model.RetryReasons() {
		names = append(names, "`"+reason.String()+"`")
	}
	for _, name := range names {
		if !strings.Contains(string(page), name) {
			t.Errorf("docs/OPERATIONS.md lacks %s", name)
		}
	}
}
