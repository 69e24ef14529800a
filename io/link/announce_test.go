package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/link"
)

// eventChannel receives the events that an announcer posts.
type eventChannel chan event.Event

func (b eventChannel) Post(_ context.Context, e event.Event) error {
	b <- e
	return nil
}

// TestAnnounce guards against announcements that are lost on a working network
// and against report fields missing from the encoding.
func TestAnnounce(t *testing.T) {
	open := func() net.PacketConn {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return socket
	}
	from, to := open(), open()
	arrived := make(eventChannel, 1)
	sender, receiver := link.NewAnnouncer(from, make(eventChannel, 1)), link.NewAnnouncer(to, arrived)
	ctx, cancel := context.WithCancel(t.Context())
	go sender.Run(ctx)
	go receiver.Run(ctx)
	report := model.Report{
		Member:            model.Member{Name: "a", Zone: "z", Incarnation: 7},
		Seq:               3,
		Nodes:             12,
		Site:              5,
		Registry:          9,
		InContact:         true,
		RegistryConfirmed: true,
		RegistryAge:       1200 * time.Millisecond,
		Uses:              []model.UpstreamUse{{Upstream: "u", Prompt: 1200, Runs: 2}},
		Admitted:          []model.AccountTotal{{Account: "x", Units: 1280, Recent: 80}},
		Crashes:           []model.CrashRecord{{Fingerprint: 1<<64 - 1, Crashes: []uint64{1<<64 - 1, 4}, Age: 9 * time.Minute}},
		Changes:           []model.RoleChange{{Upstream: "u", To: model.RolePrefill, Remaining: 3 * time.Second}},
		Unreachable:       []model.UpstreamName{"u", "v"},
		LeavingUpstreams:  []model.UpstreamInstance{{Name: "u", Incarnation: 1<<64 - 3}},
		Evacuations:       model.Evacuations{Version: 1 << 60, Zones: []model.ZoneName{"z1", "z2"}},
		Pauses: []model.StreamPause{{
			Upstream: model.UpstreamInstance{Name: "u", Incarnation: 1<<64 - 4}, Longest: 231 * time.Millisecond,
		}},
		Prompts: []model.PromptPlaced{{Upstream: "u", PrefixHash: 1<<64 - 2, Tokens: 17_000}},
	}
	sender.Execute(ctx, effect.Announce{Peers: []model.Member{{Address: to.LocalAddr().String()}}, Report: report})
	select {
	case e := <-arrived:
		got, _ := e.(event.AnnounceArrived)
		got.Report.Wall = time.Time{}
		if diff := cmp.Diff(report, got.Report); diff != "" {
			t.Errorf("decoded report differs from the sent one (-sent +got):\n%s", diff)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no announcement received within 10 s")
	}
	cancel()
	<-sender.Done()
	<-receiver.Done()
}
