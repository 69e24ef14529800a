package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/event"
	"caroblane/core/model"
)

// watchTerm bounds the time from the end of a watch's wait to its answer.
const watchTerm = 2 * time.Second

// pageLimit bounds the objects of one watch answer. Objects of the largest size
// can still make it too large to read; the limit is lowered then.
const pageLimit = 1_000

// cursor is the progress of the watch. Changes are held back until they are
// complete, up to a page that leaves nothing over. A node that took a part of a
// coalesced answer for all writes up to its last version could miss a
// withdrawal that a later page holds; and a part does not prove that the node
// has every write accepted before the call was sent.
type cursor struct {
	after   model.Version
	pending []model.Change
}

// next returns the cursor after a page, and the event if the changes are
// complete.
func (c cursor) next(p wirePage, sentAt time.Time) (cursor, event.ConfigChanged, bool) {
	for _, object := range p.Objects {
		kind, ok := configKind(object.Kind)
		if ok {
			c.pending = append(c.pending, object.change(kind))
		}
	}
	c.after = max(c.after, p.Next)
	if p.More {
		return c, event.ConfigChanged{}, false
	}
	changed := event.ConfigChanged{Changes: c.pending, Upto: c.after, SentAt: sentAt, FromStore: true}
	c.pending = nil
	return c, changed, true
}

func configKind(name string) (model.Kind, bool) {
	for kind := model.KindTemplate; kind <= model.KindRoster; kind++ {
		if kind.Name() == name {
			return kind, true
		}
	}
	return 0, false
}

func configKinds() string {
	var names []string
	for kind := model.KindTemplate; kind <= model.KindRoster; kind++ {
		names = append(names, kind.Name())
	}
	return strings.Join(names, ",")
}

// retryAfter returns a random time of up to a bound that doubles with each
// failure, so that nodes do not call at once after an outage.
func retryAfter(draw *rand.Rand, first, most time.Duration, failures int) time.Duration {
	bound := first
	for range min(failures-1, 16) {
		bound = min(2*bound, most)
	}
	return first/2 + time.Duration(draw.Int64N(int64(bound)))
}

// watch posts the changes of the configuration until the context ends.
func (c *Client) watch(ctx context.Context) {
	var at cursor
	failures, limit := 0, pageLimit
	for ctx.Err() == nil {
		sentAt := c.clock.Now()
		page, err := c.page(ctx, at.after, limit, sentAt)
		if ctx.Err() != nil {
			return
		}
		if errorx.IsOfType(err, Oversized) && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			failures++
			c.post(ctx, event.StoreFailed{})
			_ = c.clock.Wait(ctx, retryAfter(c.watchDraw, c.settings.RetryFirst, c.settings.RetryMost, failures))
			continue
		}
		failures = 0
		limit = min(pageLimit, limit+1)
		var changed event.ConfigChanged
		var complete bool
		at, changed, complete = at.next(page, sentAt)
		if !complete {
			continue
		}
		c.post(ctx, changed)
		if gap := sentAt.Add(c.settings.WatchGap).Sub(c.clock.Now()); gap > 0 {
			_ = c.clock.Wait(ctx, gap)
		}
	}
}

func (c *Client) page(ctx context.Context, after model.Version, limit int, sentAt time.Time) (wirePage, error) {
	path := fmt.Sprintf("/objects?after=%d&wait=%d&limit=%d&kinds=%s",
		after, c.settings.WatchWait.Milliseconds(), limit, configKinds())
	a, err := c.caller.do(ctx, request{method: "GET", path: path, by: sentAt.Add(c.settings.WatchWait + watchTerm)})
	if err != nil {
		return wirePage{}, err
	}
	var page wirePage
	if err := json.Unmarshal(a.body, &page); err != nil {
		return wirePage{}, Lost.Wrap(err, "answer to %s", path)
	}
	// An answer that is none of a watch must not count as contact. A revision
	// below one that was seen means that the store has lost writes.
	if page.Objects == nil || page.Next < after || page.Revision < after {
		return wirePage{}, Lost.New("answer to %s has revision %d, next %d", path, page.Revision, page.Next)
	}
	return page, nil
}
