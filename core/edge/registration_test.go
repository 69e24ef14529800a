package edge_test

import (
	"slices"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// registration returns the registration of a node. All nodes are registered from the start.
func (n *network) registration(name model.NodeName) model.Change {
	if r, found := n.registrations[name]; found {
		return r
	}
	i := slices.IndexFunc(n.nodes, func(other *simNode) bool { return other.Name == name })
	return model.Change{Kind: model.KindMember, Name: string(name), Version: 1, Value: model.Registration{Member: n.nodes[i].Member}}
}

// writeRegistration carries out a write of a registration and returns the answer.
func (n *network) writeRegistration(f effect.WriteObject) event.Event {
	at := startTime.Add(n.now)
	r := n.registration(model.NodeName(f.Name))
	if f.IfVersion != r.Version {
		return event.ObjectConflict{Op: f.Op, SentAt: at}
	}
	r.Version, r.Value = r.Version+1, f.Value
	n.registrations[model.NodeName(f.Name)] = r
	return event.ObjectWritten{Op: f.Op, SentAt: at, Version: r.Version}
}
