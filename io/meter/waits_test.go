package meter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/model"
	"caroblane/io/meter"
)

// TestWaits guards against waits that are counted for another route or reason, and for
// reasons for which a request did not wait.
func TestWaits(t *testing.T) {
	m := meter.New(func() meter.GaugeValues { return meter.GaugeValues{} })
	m.Execute(context.Background(), effect.MeasureWaits{
		Route: "draft", Waits: model.Waits{}.With(model.WaitQueue, 7*time.Millisecond).With(model.WaitFirstToken, 300*time.Millisecond),
	})
	m.TokenGap("draft", 51*time.Millisecond)
	text := scrape(m)
	for _, want := range []string{
		`caroblane_wait_seconds_bucket{reason="Queue",route="draft",le="0.005"} 0`,
		`caroblane_wait_seconds_bucket{reason="Queue",route="draft",le="0.01"} 1`,
		`caroblane_wait_seconds_bucket{reason="FirstToken",route="draft",le="0.45"} 1`,
		`caroblane_wait_seconds_bucket{reason="BetweenTokens",route="draft",le="0.051"} 1`,
		`caroblane_wait_seconds_count{reason="Prompt",route="draft"} 0`,
		`caroblane_wait_seconds_count{reason="Transfer",route="draft"} 0`,
		`caroblane_between_tokens_seconds_count 1`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
}

// TestRouteLabels guards against a configuration with many routes, or whose routes change
// their names, that adds time series without limit, and against waits that are then lost.
func TestRouteLabels(t *testing.T) {
	m := meter.New(func() meter.GaugeValues { return meter.GaugeValues{} })
	const routes = 5000
	for i := range routes {
		m.TokenGap(model.RouteName(fmt.Sprint("route-", i)), time.Millisecond)
	}
	m.TokenGap("route-0", time.Millisecond)
	m.TokenGap("\xff", time.Millisecond)
	text := scrape(m)
	if labels := strings.Count(text, `caroblane_wait_seconds_count{reason="BetweenTokens"`); labels != 33 {
		t.Errorf("%d labels, want 32 routes and one for the others", labels)
	}
	for _, want := range []string{
		`caroblane_wait_seconds_count{reason="BetweenTokens",route="route-0"} 2`,
		fmt.Sprintf(`caroblane_wait_seconds_count{reason="BetweenTokens",route="(other)"} %d`, routes-32+1),
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s", want)
		}
	}
}

// BenchmarkWaits measures what the waits of one request and one gap between tokens cost.
func BenchmarkWaits(b *testing.B) {
	m := meter.New(func() meter.GaugeValues { return meter.GaugeValues{} })
	waits := model.Waits{}.With(model.WaitQueue, time.Millisecond).With(model.WaitPrompt, time.Second).
		With(model.WaitTransfer, time.Millisecond).With(model.WaitFirstToken, time.Second)
	measured := effect.MeasureWaits{Route: "draft", Waits: waits}
	b.Run("request", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Execute(context.Background(), measured)
		}
	})
	b.Run("token", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.TokenGap("draft", 20*time.Millisecond)
		}
	})
}
