package plat

import (
	"context"
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const maxListObjects = 65536

// list reads all objects of a kind, page by page.
func (c *Client) list(ctx context.Context, e effect.ListObjects, deadline time.Time) event.Event {
	var objects []model.Change
	var sentAt time.Time
	after, limit := model.Version(0), pageLimit
	for {
		path := fmt.Sprintf("/objects?after=%d&wait=0&limit=%d&kinds=%s", after, limit, e.Kind.Name())
		resp, err := c.api.do(ctx, request{method: "GET", path: path, deadline: deadline})
		if err != nil {
			return event.ObjectReadFailed{Op: e.Op}
		}
		if sentAt.IsZero() {
			sentAt = resp.sentAt
		}
		page, err := decodePage(resp.body)
		if err != nil || page.Objects == nil || page.Next < after {
			return event.ObjectReadFailed{Op: e.Op}
		}
		for _, object := range page.Objects {
			if !object.Deleted {
				objects = append(objects, object.toChange(e.Kind))
			}
		}
		if !page.More {
			return event.ObjectsListed{Op: e.Op, SentAt: sentAt, Objects: latestChanges(objects)}
		}
		if len(objects) > maxListObjects || page.Next == after {
			return event.ObjectReadFailed{Op: e.Op}
		}
		after = page.Next
	}
}

// latestChanges keeps the last change of each object. An object that is written
// between the reads of two pages is listed again.
func latestChanges(changes []model.Change) []model.Change {
	latest := map[string]int{}
	for i, change := range changes {
		latest[change.Name] = i
	}
	var kept []model.Change
	for i, change := range changes {
		if latest[change.Name] == i {
			kept = append(kept, change)
		}
	}
	return kept
}
