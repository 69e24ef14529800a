package alive

import "time"

const (
	// missTimeout is the shortest time without a sign of a node after which this node states
	// that it misses it, and missRounds the number of rounds of exchanges. A node whose
	// address refuses connections may be restarting: stoppedTimeout applies to it.
	missTimeout    = 1500 * time.Millisecond
	missRounds     = 2
	stoppedTimeout = 30 * time.Second
	// heardResolution is the precision of the time at which a node was heard.
	heardResolution = 200 * time.Millisecond
	// maxMisses limits the nodes that a registration states as missed, and so its size.
	maxMisses = 64

	// minListInterval is the shortest time between two lists, and listIntervalPerNode what
	// each registration adds, so that the lists of all nodes together stay within 14 a second.
	minListInterval     = 2500 * time.Millisecond
	listIntervalPerNode = 75 * time.Millisecond
	// searchInterval is the time between two lists during searchPeriod after the start, when
	// other nodes may be starting too.
	searchInterval = 500 * time.Millisecond
	searchPeriod   = 3 * time.Second
	// listRetryDelay is the delay after a list that failed, and listSlack how late a list may
	// be until this process counts as lapsed.
	listRetryDelay = 500 * time.Millisecond
	listSlack      = 1500 * time.Millisecond
	// maxStaleness limits the age of a list that may be stale. The pages of the store state no
	// bound but that it is seconds old.
	maxStaleness = 3 * time.Second

	// renewInterval is the time between two renewals of the registration of a node that is
	// missed, and renewTerm how long a renewal counts.
	renewInterval = 3 * time.Second
	renewTerm     = 5 * time.Second
	// writeInterval is the shortest time between two writes of the registration, and
	// writeRetryDelay the delay after one that failed.
	writeInterval   = time.Second
	writeRetryDelay = 300 * time.Millisecond
	// callSlack is the time that a call to the store may take.
	callSlack = time.Second
	// maxRemovals limits the registrations that are removed after one list.
	maxRemovals = 8
)

// listInterval returns the time between two lists.
func (s State) listInterval() time.Duration {
	return max(minListInterval, listIntervalPerNode*time.Duration(s.nodes.Len()+s.departed.Len()+1))
}

// listTerm returns how long after it has asked for a list a process may rely on it.
func (s State) listTerm() time.Duration { return s.listInterval() + listSlack }

// departTerm returns how long a missed node may leave its registration unchanged. One that
// runs has read within it that it is missed, and has renewed its registration or counts as
// lapsed; one that is cut off from the store, too, has stopped to admit requests.
func (s State) departTerm() time.Duration {
	return max(maxStaleness+s.listTerm(), renewTerm, s.bounds.RevocationDelay) + callSlack
}
