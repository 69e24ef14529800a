package fleet

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// maxSummaryUses limits the upstreams in a summary, so that it fits a datagram, and
	// maxRepeatedUses those whose work did not change.
	maxSummaryUses  = 32
	maxRepeatedUses = 4
	// maxSummaryPrompts limits the prompt parts in a summary.
	maxSummaryPrompts = 12
	// cellUseTimeout is how long the work of another cell at an upstream counts after
	// it was last reported. Summaries repeat all of it in turn.
	cellUseTimeout = 4 * time.Second
)

// handleReport applies a report of a peer or a summary of another cell, which is
// full or holds only changes. The sums over the peers are kept with the upstreams,
// so that placement does not iterate over the peers.
func (s State) handleReport(r model.Report, full bool, at time.Time) State {
	source := r.Source()
	old, found := s.peers.Get(source)
	if found && r.Member.Incarnation == old.incarnation && r.Seq <= old.seq {
		return s
	}
	uses := old.uses
	if full || !found || r.Member.Incarnation != old.incarnation {
		uses = immutable.NewSortedMap[model.UpstreamName, peerUse](nil)
		s = s.withoutPeer(source, old)
	}
	for _, use := range r.Uses {
		last, _ := uses.Get(use.Upstream)
		s = s.withPeerWork(source, use.Upstream, use.Prompt-last.Prompt, use.Runs-last.Runs)
		uses = uses.Set(use.Upstream, peerUse{use, at})
	}
	s.peers = s.peers.Set(source, peer{at, r.Member.Incarnation, r.Seq, uses})
	for _, change := range r.Changes {
		s = s.withRoleChange(change, at)
	}
	for _, p := range r.Prompts {
		if r.Nodes == 0 {
			s = s.withCellPrompt(p)
		}
		s = s.withPrompt(p, at)
	}
	for _, p := range r.Pauses {
		s = s.withStreamPause(p, at)
	}
	for _, name := range r.Unreachable {
		s = s.withUnreachable(name, r.Member.Name, at)
	}
	for _, instance := range r.LeavingUpstreams {
		s = s.withLeavingHint(instance, at)
	}
	if full {
		s = s.withoutSilent(at)
	}
	return s
}

// withoutSilent drops the work of peers that have not reported for peerUseTimeout,
// and that of other cells which was not repeated for cellUseTimeout.
func (s State) withoutSilent(at time.Time) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		name, p, _ := itr.Next()
		switch {
		case p.uses.Len() == 0:
		case at.Sub(p.at) >= peerUseTimeout:
			s = s.withoutPeer(name, p)
			p.uses = immutable.NewSortedMap[model.UpstreamName, peerUse](nil)
			s.peers = s.peers.Set(name, p)
		case name.IsCell():
			s = s.withoutStaleUses(name, p, at)
		}
	}
	return s
}

func (s State) withoutStaleUses(name model.NodeName, p peer, at time.Time) State {
	for itr := p.uses.Iterator(); !itr.Done(); {
		upstream, use, _ := itr.Next()
		if at.Sub(use.at) >= cellUseTimeout {
			s = s.withPeerWork(name, upstream, -use.Prompt, -use.Runs)
			p.uses = p.uses.Delete(upstream)
		}
	}
	s.peers = s.peers.Set(name, p)
	return s
}

// withoutPeer subtracts the work of a peer from all upstreams.
func (s State) withoutPeer(name model.NodeName, p peer) State {
	if p.uses == nil {
		return s
	}
	for itr := p.uses.Iterator(); !itr.Done(); {
		upstream, use, _ := itr.Next()
		s = s.withPeerWork(name, upstream, -use.Prompt, -use.Runs)
	}
	return s
}

// withPeerWork adds to the work of a peer or of another cell at an upstream.
func (s State) withPeerWork(source model.NodeName, name model.UpstreamName, prompt float64, runs int) State {
	u, found := s.upstreams.Get(name)
	if !found || prompt == 0 && runs == 0 {
		return s
	}
	if source.IsCell() {
		u.cells = withWork(u.cells, prompt, runs)
	} else {
		u.peers = withWork(u.peers, prompt, runs)
		s.cellDirty = withName(s.cellDirty, name)
	}
	s.upstreams = s.upstreams.Set(name, u)
	return s
}

// withReportedUse returns a new upstream with the work that peers have reported for
// its name, from which their next reports are subtracted.
func (s State) withReportedUse(u Upstream) Upstream {
	for itr := s.peers.Iterator(); !itr.Done(); {
		source, p, _ := itr.Next()
		use, found := p.uses.Get(u.Name)
		switch {
		case !found:
		case source.IsCell():
			u.cells = withWork(u.cells, use.Prompt, use.Runs)
		default:
			u.peers = withWork(u.peers, use.Prompt, use.Runs)
		}
	}
	return u
}

func withWork(use model.UpstreamUse, prompt float64, runs int) model.UpstreamUse {
	use.Prompt = max(0, use.Prompt+prompt)
	use.Runs = max(0, use.Runs+runs)
	return use
}

// withName returns a list that contains a name.
func withName(list []model.UpstreamName, name model.UpstreamName) []model.UpstreamName {
	if slices.Contains(list, name) {
		return list
	}
	return append(list[:len(list):len(list)], name)
}

// CellUses returns the unfinished work of all nodes of the cell.
func (s State) CellUses() []model.UpstreamUse {
	var uses []model.UpstreamUse
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		if _, u, _ := itr.Next(); u.cellUse() != (model.UpstreamUse{Upstream: u.Name}) {
			uses = append(uses, u.cellUse())
		}
	}
	return uses
}

// cellUse returns the work of the nodes of the cell at an upstream.
func (u Upstream) cellUse() model.UpstreamUse {
	return model.UpstreamUse{
		Upstream: u.Name, Prompt: u.local.Prompt + u.peers.Prompt, Runs: u.local.Runs + u.peers.Runs,
	}
}

// TakeCellUses returns the work of the nodes of the cell at upstreams where it changed
// since the last call and, in turn, at the others, and the state after the call.
func (s State) TakeCellUses() (State, []model.UpstreamUse) {
	var uses []model.UpstreamUse
	changed := s.cellDirty[:min(len(s.cellDirty), maxSummaryUses)]
	s.cellDirty = s.cellDirty[len(changed):]
	for _, name := range changed {
		if u, found := s.upstreams.Get(name); found {
			uses = append(uses, u.cellUse())
		}
	}
	itr := s.upstreams.Iterator()
	itr.Seek(s.summarized)
	s.summarized = ""
	limit := min(maxSummaryUses, len(uses)+maxRepeatedUses)
	for !itr.Done() {
		name, u, _ := itr.Next()
		if len(uses) >= limit {
			s.summarized = name
			break
		}
		if u.cellUse() != (model.UpstreamUse{Upstream: name}) && !slices.Contains(changed, name) {
			uses = append(uses, u.cellUse())
		}
	}
	return s, uses
}

// withCellPrompt notes for the next summary that an engine has a part of a prompt
// that it did not have before.
func (s State) withCellPrompt(p model.PromptPlaced) State {
	known, _ := s.prefixHolders.Get(p.PrefixHash)
	if len(s.cellPrompts) >= maxSummaryPrompts || slices.ContainsFunc(known, func(h prefixHolder) bool { return h.name == p.Upstream }) {
		return s
	}
	s.cellPrompts = append(s.cellPrompts[:len(s.cellPrompts):len(s.cellPrompts)], p)
	return s
}

// TakeCellPrompts returns the parts of prompts that engines got since the last call,
// and the state after the call.
func (s State) TakeCellPrompts() (State, []model.PromptPlaced) {
	prompts := s.cellPrompts
	s.cellPrompts = nil
	return s, prompts
}
