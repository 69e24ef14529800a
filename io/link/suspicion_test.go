package link

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"caroblane/core/model"
	"caroblane/io/link/wire"
)

// TestSuspicionsFitDatagram guards against announcements of suspected parts that are
// dropped because of their size, and against fields that are lost on the way.
func TestSuspicionsFitDatagram(t *testing.T) {
	report := model.Report{
		Member: model.Member{Name: "a-rather-long-name-of-a-node-0001", Zone: "a-rather-long-zone", Incarnation: math.MaxUint64},
		Seq:    math.MaxUint32, Nodes: 99, Wall: time.UnixMilli(0),
	}
	for i := range model.MaxAnnouncedSuspicions {
		p := model.PartSuspicion{Part: uint64(i) + math.MaxUint64/2, Trials: 1000, Remaining: 10 * time.Minute}
		for j := i; j < model.MaxAnnouncedMarks; j += model.MaxAnnouncedSuspicions {
			state := min(model.MarkCleared, model.MarkState(len(p.Marks)*3/8))
			p.Marks = append(p.Marks, model.PartMark{Crash: math.MaxUint64 - uint64(j), State: state})
		}
		report.Suspicions = append(report.Suspicions, p)
	}
	text, err := proto.Marshal(encodeReport(report))
	if err != nil || len(text) > maxDatagram {
		t.Errorf("the largest announcement has %d bytes, error %v; want at most %d bytes", len(text), err, maxDatagram)
	}
	var w wire.Report
	if err := proto.Unmarshal(text, &w); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(report.Suspicions, decodeReport(&w).Suspicions); diff != "" {
		t.Errorf("suspicions after the transfer (-want +got):\n%s", diff)
	}
}
