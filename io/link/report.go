package link

import (
	"math"
	"time"

	"caroblane/core/model"
	"caroblane/io/link/wire"
)

func decodeMember(w *wire.Member) model.Member {
	return model.Member{
		Name:        model.NodeName(w.GetName()),
		Address:     w.GetAddress(),
		Zone:        model.ZoneName(w.GetZone()),
		Incarnation: model.Incarnation(w.GetIncarnation()),
	}
}

func encodeMember(m model.Member) *wire.Member {
	return &wire.Member{
		Name: string(m.Name), Address: m.Address, Zone: string(m.Zone), Incarnation: uint64(m.Incarnation),
	}
}

func decodeInstance(w *wire.UpstreamInstance) model.UpstreamInstance {
	return model.UpstreamInstance{Name: model.UpstreamName(w.GetName()), Incarnation: model.Incarnation(w.GetIncarnation())}
}

func encodeInstance(i model.UpstreamInstance) *wire.UpstreamInstance {
	return &wire.UpstreamInstance{Name: string(i.Name), Incarnation: uint64(i.Incarnation)}
}

func decodeAccountTotals(messages []*wire.AccountTotal) []model.AccountTotal {
	var list []model.AccountTotal
	for _, w := range messages {
		list = append(list, model.AccountTotal{
			Account: model.AccountName(w.GetAccount()), Units: w.GetUnits(), Recent: w.GetRecent(),
		})
	}
	return list
}

func encodeAccountTotals(list []model.AccountTotal) []*wire.AccountTotal {
	var messages []*wire.AccountTotal
	for _, t := range list {
		messages = append(messages, &wire.AccountTotal{Account: string(t.Account), Units: t.Units, Recent: t.Recent})
	}
	return messages
}

func decodeEvacuations(w *wire.Evacuations) model.Evacuations {
	e := model.Evacuations{Version: model.Version(w.GetVersion())}
	for _, zone := range w.GetZones() {
		e = e.WithZone(model.ZoneName(zone))
	}
	return e
}

// encodeEvacuations returns nil if the evacuations are not known.
func encodeEvacuations(e model.Evacuations) *wire.Evacuations {
	if e.Version == 0 {
		return nil
	}
	w := &wire.Evacuations{Version: uint64(e.Version)}
	for _, zone := range e.Zones {
		w.Zones = append(w.Zones, string(zone))
	}
	return w
}

func decodeReport(w *wire.Report) model.Report {
	r := model.Report{
		Member:            decodeMember(w.GetMember()),
		Seq:               w.GetSeq(),
		Nodes:             int(w.GetNodes()),
		Registry:          w.GetRegistry(),
		InContact:         w.GetInContact(),
		RegistryConfirmed: w.GetRegistryConfirmed(),
		RegistryAge:       time.Duration(w.GetRegistryAgeMicros()) * time.Microsecond,
		Wall:              time.UnixMilli(w.GetWallMillis()),
		Site:              model.Version(w.GetSite()),
		Confirmed:         w.GetProven(),
		ConfirmationAge:   time.Duration(w.GetProofAgeMicros()) * time.Microsecond,
		Evacuations:       decodeEvacuations(w.GetEvacuations()),
		Leaving:           w.GetLeaving(),
		Admitted:          decodeAccountTotals(w.GetAdmitted()),
		Crashes:           decodeCrashRecords(w.GetCrashes()),
	}
	for _, u := range w.GetUses() {
		r.Uses = append(r.Uses, model.UpstreamUse{
			Upstream: model.UpstreamName(u.GetUpstream()), Prompt: float64(u.GetPrompt()), Runs: int(u.GetRuns()),
		})
	}
	for _, d := range w.GetDemand() {
		r.Demand = append(r.Demand, model.ServiceDemand{
			Service: model.ServiceName(d.GetService()), Prompt: d.GetPrompt(), Output: d.GetOutput(),
		})
	}
	for _, p := range w.GetPrompts() {
		r.Prompts = append(r.Prompts, model.PromptPlaced{
			Upstream: model.UpstreamName(p.GetUpstream()), PrefixHash: p.GetKey(), Tokens: int(p.GetTokens()),
		})
	}
	for _, name := range w.GetUnreachable() {
		r.Unreachable = append(r.Unreachable, model.UpstreamName(name))
	}
	for _, i := range w.GetLeavingUpstreams() {
		r.LeavingUpstreams = append(r.LeavingUpstreams, decodeInstance(i))
	}
	for _, p := range w.GetPauses() {
		r.Pauses = append(r.Pauses, model.StreamPause{
			Upstream: decodeInstance(p.GetUpstream()), Longest: time.Duration(p.GetLongestMicros()) * time.Microsecond,
		})
	}
	for _, t := range w.GetFormer() {
		r.Former = append(r.Former, model.ProcessTotal{
			Node: model.NodeName(t.GetNode()), Incarnation: model.Incarnation(t.GetIncarnation()),
			Account: model.AccountName(t.GetAccount()), Units: t.GetUnits(),
		})
	}
	for _, c := range w.GetChanges() {
		r.Changes = append(r.Changes, model.RoleChange{
			Upstream: model.UpstreamName(c.GetUpstream()), To: model.Role(c.GetTo()),
			Remaining: time.Duration(c.GetLeftMillis()) * time.Millisecond,
		})
	}
	for _, c := range w.GetUsage() {
		r.Usage = append(r.Usage, model.UsageCount{
			Window: model.Window(c.GetWindow()), Account: model.AccountName(c.GetAccount()), Count: int(c.GetCount()),
		})
	}
	for _, p := range w.GetSuspicions() {
		r.Suspicions = append(r.Suspicions, decodeSuspicion(p))
	}
	for _, m := range w.GetOthers() {
		r.Others = append(r.Others, decodeMember(m))
	}
	return r
}

func encodeReport(r model.Report) *wire.Report {
	w := &wire.Report{
		Member:            encodeMember(r.Member),
		Seq:               r.Seq,
		Nodes:             saturate(r.Nodes),
		Registry:          r.Registry,
		InContact:         r.InContact,
		RegistryConfirmed: r.RegistryConfirmed,
		RegistryAgeMicros: r.RegistryAge.Microseconds(),
		Site:              uint64(r.Site),
		Proven:            r.Confirmed,
		ProofAgeMicros:    r.ConfirmationAge.Microseconds(),
		Evacuations:       encodeEvacuations(r.Evacuations),
		Leaving:           r.Leaving,
		Admitted:          encodeAccountTotals(r.Admitted),
		Crashes:           encodeCrashRecords(r.Crashes),
	}
	if !r.Wall.IsZero() {
		w.WallMillis = r.Wall.UnixMilli()
	}
	for _, u := range r.Uses {
		w.Uses = append(w.Uses, &wire.UpstreamUse{
			Upstream: string(u.Upstream), Prompt: saturate(u.Prompt), Runs: saturate(u.Runs),
		})
	}
	for _, d := range r.Demand {
		w.Demand = append(w.Demand, &wire.ServiceDemand{Service: string(d.Service), Prompt: d.Prompt, Output: d.Output})
	}
	for _, p := range r.Prompts {
		w.Prompts = append(w.Prompts, &wire.PromptPlaced{Upstream: string(p.Upstream), Key: p.PrefixHash, Tokens: saturate(p.Tokens)})
	}
	for _, name := range r.Unreachable {
		w.Unreachable = append(w.Unreachable, string(name))
	}
	for _, i := range r.LeavingUpstreams {
		w.LeavingUpstreams = append(w.LeavingUpstreams, encodeInstance(i))
	}
	for _, p := range r.Pauses {
		w.Pauses = append(w.Pauses, &wire.StreamPause{
			Upstream: encodeInstance(p.Upstream), LongestMicros: saturate(p.Longest.Microseconds()),
		})
	}
	for _, t := range r.Former {
		w.Former = append(w.Former, &wire.ProcessTotal{
			Node: string(t.Node), Incarnation: uint64(t.Incarnation), Account: string(t.Account), Units: t.Units,
		})
	}
	for _, c := range r.Changes {
		w.Changes = append(w.Changes, &wire.RoleChange{
			Upstream: string(c.Upstream), To: uint32(c.To), LeftMillis: saturate(c.Remaining.Milliseconds()),
		})
	}
	for _, c := range r.Usage {
		w.Usage = append(w.Usage, &wire.UsageCount{
			Window: int64(c.Window), Account: string(c.Account), Count: saturate(c.Count),
		})
	}
	for _, p := range r.Suspicions {
		w.Suspicions = append(w.Suspicions, encodeSuspicion(p))
	}
	for _, m := range r.Others {
		w.Others = append(w.Others, encodeMember(m))
	}
	return w
}

// saturate returns the number that is nearest to n and fits a message field. The
// conversion of a number that does not fit depends on the processor.
func saturate[N int | int64 | float64](n N) uint32 {
	switch {
	case n > 0 && float64(n) < math.MaxUint32:
		return uint32(n)
	case n > 0:
		return math.MaxUint32
	default:
		return 0
	}
}
