package plat

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/event"
	"caroblane/core/model"
)

// watchResponseTimeout limits the time from the end of a long poll to its response.
const watchResponseTimeout = 2 * time.Second

// pageLimit limits the objects in one watch response. The response can still
// exceed the size limit if the objects are large; the watch then lowers the page
// limit.
const pageLimit = 1_000

// cursor is the progress of the watch. It collects changes until the last page of
// a response. If a node took some pages of a coalesced response for all writes up
// to their last version, it could miss a withdrawal on a later page. Some pages
// also do not prove that the node has every write accepted before the request was
// sent.
type cursor struct {
	after   model.Version
	pending []model.Change
}

// next returns the cursor after a page. If that is the last page, it also returns
// the event with all changes.
func (c cursor) next(p wirePage, sentAt time.Time) (cursor, event.ConfigChanged, bool) {
	for _, object := range p.Objects {
		kind, ok := parseConfigKind(object.Kind)
		if ok {
			c.pending = append(c.pending, object.toChange(kind))
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

func parseConfigKind(name string) (model.Kind, bool) {
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

// retryDelay returns a random delay whose upper limit doubles with each failure,
// so that nodes do not all call at the same time after an outage.
func retryDelay(rng *rand.Rand, initial, limit time.Duration, failures int) time.Duration {
	ceiling := initial
	for range min(failures-1, 16) {
		ceiling = min(2*ceiling, limit)
	}
	return initial/2 + time.Duration(rng.Int64N(int64(ceiling)))
}

// watch posts changes of the configuration until the context is cancelled.
func (c *Client) watch(ctx context.Context) {
	var progress cursor
	failures, limit := 0, pageLimit
	for ctx.Err() == nil {
		sentAt := c.clock.Now()
		page, err := c.fetchPage(ctx, progress.after, limit, sentAt)
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
			_ = c.clock.Wait(ctx, retryDelay(c.watchRand, c.settings.MinBackoff, c.settings.MaxBackoff, failures))
			continue
		}
		failures = 0
		limit = min(pageLimit, limit+1)
		var changed event.ConfigChanged
		var complete bool
		progress, changed, complete = progress.next(page, sentAt)
		if !complete {
			continue
		}
		c.post(ctx, changed)
		if gap := sentAt.Add(c.settings.WatchInterval).Sub(c.clock.Now()); gap > 0 {
			_ = c.clock.Wait(ctx, gap)
		}
	}
}

func (c *Client) fetchPage(ctx context.Context, after model.Version, limit int, sentAt time.Time) (wirePage, error) {
	path := fmt.Sprintf("/objects?after=%d&wait=%d&limit=%d&kinds=%s",
		after, c.settings.LongPollTimeout.Milliseconds(), limit, configKinds())
	resp, err := c.api.do(ctx, request{method: "GET", path: path, deadline: sentAt.Add(c.settings.LongPollTimeout + watchResponseTimeout)})
	if err != nil {
		return wirePage{}, err
	}
	page, err := decodePage(resp.body)
	if err != nil {
		return wirePage{}, Lost.Wrap(err, "decode response to %s", path)
	}
	// Only a valid watch response counts as contact with the store. A revision
	// below one that was seen before means that the store has lost writes.
	if page.Objects == nil || page.Next < after || page.Revision < after {
		return wirePage{}, Lost.New("invalid response to %s: revision %d, next %d", path, page.Revision, page.Next)
	}
	return page, nil
}
