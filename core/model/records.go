package model

import (
	"strconv"
	"time"
)

//go:generate go tool stringer -type=ClaimState,OrderAction,OrderState,ProvisionState,SendResult,UsageState -output=records_string.go

// ClaimState is the state of the execution of a claimed request.
type ClaimState int

// The values of ClaimState.
const (
	// ClaimOpen means that the request may be running or may have run.
	ClaimOpen ClaimState = iota
	// ClaimAnswered means that the request ran and its response is recorded.
	ClaimAnswered
	// ClaimUnknown means that the request ended with an unknown outcome.
	ClaimUnknown
	// ClaimNotRun means that the request was not executed and will not be. The
	// next request with the same key may acquire the claim.
	ClaimNotRun
)

// Claim is the object Claim/<shard>: the claims of one shard.
type Claim struct {
	// Entries are sorted by Account, then by Key.
	Entries []ClaimEntry
}

// ClaimEntry is the claim of one request that must not be executed twice.
// Account and Key identify it.
type ClaimEntry struct {
	Account AccountName
	// Key is the idempotency key, and BodyHash the value of Request.BodyHash.
	Key      string
	BodyHash KeyHash
	// Nonce identifies the request that holds the claim, across all processes.
	Nonce string
	State ClaimState
	// Answer is set in the state ClaimAnswered.
	Answer Response
	// WrittenAt is the wall-clock time of the node that last changed the entry.
	WrittenAt time.Time
}

// Lease is the object Lease/<name>. It is released if Holder is empty.
type Lease struct {
	Holder      NodeName
	Incarnation Incarnation
	Epoch       Epoch
	Nonce       string
}

// QuotaRecord is the object Quota/<node>: the units recently admitted by all
// nodes for accounts close to their limits, as known to one node. A starting
// node reads it if no other node is running.
type QuotaRecord struct {
	// At is the wall-clock time for which the counts were taken.
	At       time.Time
	Accounts []QuotaHistory
}

// QuotaHistory is the admission history of one account.
type QuotaHistory struct {
	Account AccountName
	// Limit is the maximum number of units for the account in the window.
	Limit float64
	// Units has the admitted units for each second before the time of the record,
	// most recent first.
	Units []float64
}

// OrderAction is the operation that an order requests from an engine.
type OrderAction int

// The values of OrderAction.
const (
	OrderSetRole OrderAction = iota
	OrderLoadModel
	OrderLoadAdapter
)

// OrderIntent is the content of an order to an engine.
type OrderIntent struct {
	Action OrderAction
	// Role is set for OrderSetRole.
	Role Role
	// Model is set for OrderLoadModel and OrderLoadAdapter.
	Model ModelName
	// ModelVersion is set for OrderLoadModel.
	ModelVersion string
	// Adapter is set for OrderLoadAdapter.
	Adapter string
}

// OrderState is the progress of an order.
type OrderState int

// The values of OrderState.
const (
	// OrderRecorded means that the order may have been sent.
	OrderRecorded OrderState = iota
	// OrderDone means that the engine accepted the order.
	OrderDone
	// OrderRefused means that the engine refused the order.
	OrderRefused
)

// Order is the object Order/<upstream>: the most recent order to an engine.
type Order struct {
	Seq    uint64
	Epoch  Epoch
	Intent OrderIntent
	State  OrderState
	Nonce  string
}

// ProvisionIntent is a request to the platform to add or remove upstreams.
type ProvisionIntent struct {
	Zone  ZoneName
	Model ModelName
	Cheap bool
	// Change is the number of upstreams to add, or to remove if negative.
	Change int
}

// ProvisionState is the progress of a provisioning order.
type ProvisionState int

// The values of ProvisionState.
const (
	// ProvisionRecorded means that the order may have been sent.
	ProvisionRecorded ProvisionState = iota
	// ProvisionAccepted means that the platform accepted the order.
	ProvisionAccepted
	// ProvisionRefused means that the platform refused the order.
	ProvisionRefused
)

// Provision is the object Provision/<id>: a provisioning order.
type Provision struct {
	Epoch  Epoch
	Intent ProvisionIntent
	State  ProvisionState
	Nonce  string
}

// SendResult is the response to an order, a provisioning order or a usage
// report.
type SendResult int

// The values of SendResult.
const (
	SendAccepted SendResult = iota
	SendRefused
	// SendStale means that the receiver has already seen a higher epoch.
	SendStale
)

// Usage is the object Usage/<window>: the usage reported for a window. Its
// counts never change after the first write.
type Usage struct {
	Window Window
	Epoch  Epoch
	// Lines are sorted by account.
	Lines []UsageLine
	// Parts has the sorted names of the UsagePart objects that are included.
	Parts []string
	State UsageState
	Nonce string
}

// UsageLine is the usage of one client account.
type UsageLine struct {
	Account      AccountName
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// UsagePart is the object UsagePart/<window>.<node>.<incarnation>: the usage
// counted by one process in a window. It is written once.
type UsagePart struct {
	Window      Window
	Node        NodeName
	Incarnation Incarnation
	// Cell is set if the lines are sums over a cell and Incarnation stands for it. It
	// is only set within a UsageSnapshot.
	Cell  bool
	Lines []UsageLine
	Nonce string
}

// UsageSnapshot is the object UsageSnapshot/<name>: the usage that each process
// counted in windows that are not final. A new lease holder without these counts
// reads them from it.
type UsageSnapshot struct {
	// Epoch is that of the holder that wrote the snapshot. In a later era, the store has
	// lost what was written after the snapshot.
	Epoch Epoch
	Parts []UsagePart
	// Next is the first window that was not reported yet. The records of earlier windows
	// may be deleted.
	Next Window
}

// UsageState states whether the usage of a window was reported.
type UsageState int

// The values of UsageState.
const (
	// UsageFrozen means that the report may have been sent.
	UsageFrozen UsageState = iota
	// UsageReported means that the platform accepted the report.
	UsageReported
)

// Window is the number of a usage window: the Unix time divided by the length
// of a window.
type Window int64

// WindowLength is the length of a usage window.
const WindowLength = 60 * time.Second

// WindowOf returns the window that contains the given time.
func WindowOf(at time.Time) Window { return Window(at.Unix() / int64(WindowLength/time.Second)) }

// End returns the end of the window.
func (w Window) End() time.Time {
	return time.Unix((int64(w)+1)*int64(WindowLength/time.Second), 0)
}

// String returns the name of the window's Usage object.
func (w Window) String() string { return strconv.FormatInt(int64(w), 10) }

// Name returns the name of the UsagePart object in the store.
func (p UsagePart) Name() string {
	return p.Window.String() + "." + string(p.Node) + "." + strconv.FormatUint(uint64(p.Incarnation), 10)
}
