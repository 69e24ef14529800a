package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// maxListed bounds the objects of one list.
const maxListed = 65536

// list reads all objects of a kind, page by page.
func (c *Client) list(ctx context.Context, e effect.ListObjects, by time.Time) event.Event {
	var objects []model.Change
	var sentAt time.Time
	after, limit := model.Version(0), pageLimit
	for {
		path := fmt.Sprintf("/objects?after=%d&wait=0&limit=%d&kinds=%s", after, limit, e.Kind.Name())
		a, err := c.caller.do(ctx, request{method: "GET", path: path, by: by})
		if err != nil {
			return event.ObjectReadFailed{Op: e.Op}
		}
		if sentAt.IsZero() {
			sentAt = a.sentAt
		}
		var page wirePage
		if json.Unmarshal(a.body, &page) != nil || page.Objects == nil || page.Next < after {
			return event.ObjectReadFailed{Op: e.Op}
		}
		for _, object := range page.Objects {
			if !object.Deleted {
				objects = append(objects, object.change(e.Kind))
			}
		}
		if !page.More {
			return event.ObjectsListed{Op: e.Op, SentAt: sentAt, Objects: newest(objects)}
		}
		if len(objects) > maxListed || page.Next == after {
			return event.ObjectReadFailed{Op: e.Op}
		}
		after = page.Next
	}
}

// newest keeps the last change of each object: a write between two pages
// brings an object again.
func newest(changes []model.Change) []model.Change {
	last := map[string]int{}
	for i, change := range changes {
		last[change.Name] = i
	}
	var kept []model.Change
	for i, change := range changes {
		if last[change.Name] == i {
			kept = append(kept, change)
		}
	}
	return kept
}
