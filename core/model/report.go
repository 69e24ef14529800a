package model

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxReportParts is the number of parts in which an announcement may be sent that is too
// large for one datagram. They have the sequence numbers from that of the report on.
const MaxReportParts = 8

// Report is the state that an entry node on a platform sends to its peers. A
// newer report of the same process replaces an older one.
type Report struct {
	Member Member
	// Seq increases with each report of a process.
	Seq uint64
	// Nodes is the number of nodes whose reports are summed up. It is zero in a report
	// of the sender alone.
	Nodes int
	// Wall is the wall-clock time of the sender.
	Wall time.Time
	// Site is the version of the sender's configuration. ConfirmationAge is the
	// time since the store last confirmed that no later version exists. Confirmed is
	// false if it never did.
	Site            Version
	Confirmed       bool
	ConfirmationAge time.Duration
	// InContact is set if the store itself answered the sender recently.
	InContact bool
	// Registry is the number of changes of the sender's list of upstreams. If the sender
	// reads the list from the store itself, RegistryConfirmed is set, and RegistryAge is the
	// time since the store last answered it. Other nodes do not renew that.
	Registry          uint64
	RegistryConfirmed bool
	RegistryAge       time.Duration
	// Evacuations are those that the sender knows.
	Evacuations Evacuations
	// Leaving is set if the sender is shutting down.
	Leaving bool
	Uses    []UpstreamUse
	// Admitted has the totals since the start of the process. Former has the units
	// that ended processes, and processes of the receiving node, admitted within
	// the window of the limits.
	Admitted []AccountTotal
	Former   []ProcessTotal
	// Demand has the totals since the start of the process, and Usage the counts of the
	// sender itself.
	Demand []ServiceDemand
	Usage  []UsageCount
	// Crashes are those that any node observed, as far as the sender knows.
	Crashes []CrashRecord
	// Suspicions are the parts of prompts during whose requests upstreams crashed, as
	// far as the sender knows.
	Suspicions []PartSuspicion
	// Changes are the role changes that the sender ordered recently.
	Changes []RoleChange
	// Unreachable are the upstreams that the sender recently could not reach.
	Unreachable []UpstreamName
	// LeavingUpstreams are the upstreams that recently told the sender that they are
	// leaving.
	LeavingUpstreams []UpstreamInstance
	// Pauses are the longest pauses of the streams that recently ended at the sender.
	Pauses []StreamPause
	// Prompts are the shared prompt prefixes that the sender's requests recently
	// loaded into engines.
	Prompts []PromptPlaced
	// Others are further members known to the sender.
	Others []Member
}

// cellPrefix begins the name under which the summaries of a cell are kept. Names of
// nodes contain no space.
const cellPrefix = "cell "

// Source returns the name under which the content of the report is kept: that of the
// sender, or that of the cell whose relay sent it.
func (r Report) Source() NodeName {
	if r.Nodes == 0 {
		return r.Member.Name
	}
	return NodeName(cellPrefix + string(r.Member.Zone))
}

// Process returns the number under which the totals of the report are kept: that of
// the sending process, or that of the cell whose relay sent it.
func (r Report) Process() Incarnation {
	if r.Nodes == 0 {
		return r.Member.Incarnation
	}
	return CellIncarnation(r.Member.Zone)
}

// IsCell reports whether the name stands for the summaries of a cell.
func (n NodeName) IsCell() bool { return strings.HasPrefix(string(n), cellPrefix) }

// CellIncarnation returns a number that stands for all processes of the cell of an
// availability zone where single processes are identified by their incarnation.
func CellIncarnation(zone ZoneName) Incarnation {
	return Incarnation(xxhash.Sum64String(cellPrefix+string(zone)) >> cellIncarnationShift)
}

// cellIncarnationShift limits the number to what every JSON parser represents
// exactly.
const cellIncarnationShift = 12

// PromptPlaced states that an engine processes a prompt and keeps a part of its
// shared prefix in the KV cache.
type PromptPlaced struct {
	Upstream UpstreamName
	// PrefixHash is the hash of the part and of all parts before it.
	PrefixHash uint64
	// Tokens is what the prompt adds to the cache of the engine. It is zero in all
	// entries of a prompt but the last.
	Tokens int
}

// RoleChange is a role change of an engine in progress. The engine accepts no
// requests until it is complete.
type RoleChange struct {
	Upstream UpstreamName
	To       Role
	// Remaining is the maximum remaining duration of the change. Zero means that the
	// engine already has the role, even if its registry entry differs.
	Remaining time.Duration
}

// UpstreamInstance identifies one process of an upstream. Another process with the
// same name or at the same address is another instance.
type UpstreamInstance struct {
	Name        UpstreamName
	Incarnation Incarnation
}

// UpstreamConn is a connection to an upstream. All answers on it are from one process.
type UpstreamConn struct {
	Address string
	// OpenedAt is when the upstream had accepted the connection, by the clock of this
	// node, or zero if it is not known.
	OpenedAt time.Time
}

// UpstreamUse is the unfinished work that one node has placed on an upstream.
type UpstreamUse struct {
	Upstream UpstreamName
	// Prompt is the number of prompt tokens that the upstream has yet to process.
	Prompt float64
	// Runs is the number of requests that the upstream runs for the node.
	Runs int
}

// StreamPause is the longest time between two events of a stream that an engine completed.
type StreamPause struct {
	Upstream UpstreamInstance
	Longest  time.Duration
}

// AccountTotal is the amount that a node admitted for a client account, in units
// of the account's limit.
type AccountTotal struct {
	Account AccountName
	Units   float64
	// Recent is the part of Units within the window of the limits. It is only set
	// in reports that include all accounts.
	Recent float64
}

// ProcessTotal is the amount that one process of a node recently admitted for an
// account.
type ProcessTotal struct {
	Node        NodeName
	Incarnation Incarnation
	Account     AccountName
	Units       float64
}

// ServiceDemand is the work that arrived at a node for a service of engines.
type ServiceDemand struct {
	Service ServiceName
	// Prompt and Output are numbers of tokens.
	Prompt, Output float64
}

// UsageCount is the number of requests of an account that started in a usage
// window.
type UsageCount struct {
	Window  Window
	Account AccountName
	Count   int
}

// WaitCheck are the inputs of the decision whether a request can be served in time.
type WaitCheck struct {
	// Upstream is the engine that would serve it first.
	Upstream UpstreamName
	// Queued is how long the engine is busy with other prompts, and Limit how long it may
	// be.
	Queued, Limit time.Duration
	// FirstEvent is the expected time until the first event, and Timeout how long the
	// caller waits for it.
	FirstEvent, Timeout time.Duration
}

// RetryCheck are the inputs of a decision of the retry budget of a service. Service
// is empty if the budget did not decide.
type RetryCheck struct {
	Service ServiceName
	// Requests and Retries are the numbers within the window of the budget, and Limit
	// is the maximum of Retries.
	Requests, Retries int
	Limit             float64
}

// QuotaCheck are the inputs of an admission decision, in units of the limit.
type QuotaCheck struct {
	Account AccountName
	// Interval is the length of the interval whose limit was reached.
	Interval time.Duration
	// Units is the cost of the request.
	Units float64
	// Admitted is the amount known to be admitted by all nodes in the interval.
	Admitted float64
	// Hidden is an estimate of what unresponsive nodes may have admitted in
	// addition, minus the slack that may be used. It may be negative.
	Hidden float64
	// Limit is the maximum of Units + Admitted + Hidden.
	Limit float64
}
