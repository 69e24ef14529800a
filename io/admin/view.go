package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"caroblane/core/model"
)

// PathView is the path of the view of a node.
const PathView = "/view"

// MaxViewBytes is the size beyond which the body of a view is not read. A view of
// model.MaxShownUpstreams upstreams with long names takes a tenth of it.
const MaxViewBytes = 256 << 10

// partBase is the base in which parts of prompts are named, as in log lines.
const partBase = 16

// wireView is the response to GET /view.
type wireView struct {
	Node           model.NodeName
	Zone           model.ZoneName
	Incarnation    model.Incarnation `json:",string"`
	At             time.Time
	Version        model.Version
	Fresh          bool
	Ready          bool
	Draining       bool
	HoldsLease     bool
	Relay          model.NodeName
	Peers          int
	QueuedEvents   int
	Requests       model.RequestCounts
	UpstreamCounts model.UpstreamCounts
	Upstreams      []wireUpstream
	HeldCount      int
	HeldParts      []wireHeldPart
}

// wireUpstream is an upstream in a view. TokenSeconds is zero for plain services.
type wireUpstream struct {
	Name         model.UpstreamName
	Service      model.ServiceName
	Zone         model.ZoneName
	Kind         string
	Role         string
	Standing     string
	Until        time.Time `json:",omitzero"`
	Runs         int
	Slots        int
	Backlog      float64
	TokenSeconds float64
	WaitSeconds  float64
}

// wireHeldPart is a held part of a prompt in a view.
type wireHeldPart struct {
	Part    string
	Crashes int
	Trials  int
	TrialAt time.Time
}

// NewViewHandler returns the handler of GET /view for a node that has no other part of
// the admin interface. The function view returns the current view.
func NewViewHandler(view func() model.NodeView) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, encodeView(view())) })
}

// DecodeView decodes the response to GET /view. Fields that it does not know are ignored,
// so that nodes of a later version can be shown.
func DecodeView(data []byte) (model.NodeView, error) {
	var w wireView
	if err := json.Unmarshal(data, &w); err != nil {
		return model.NodeView{}, Failed.Wrap(err, "view cannot be decoded")
	}
	if w.Node == "" {
		return model.NodeView{}, Failed.New("view has no field Node")
	}
	view := model.NodeView{
		Node: w.Node, Zone: w.Zone, Incarnation: w.Incarnation, At: w.At, Version: w.Version, Fresh: w.Fresh, Ready: w.Ready,
		Draining: w.Draining, HoldsLease: w.HoldsLease, Relay: w.Relay, Peers: w.Peers, QueuedEvents: w.QueuedEvents,
		Requests: w.Requests, UpstreamCounts: w.UpstreamCounts, HeldCount: w.HeldCount,
	}
	for _, u := range w.Upstreams {
		decoded, err := u.decode()
		if err != nil {
			return model.NodeView{}, err
		}
		view.Upstreams = append(view.Upstreams, decoded)
	}
	for _, p := range w.HeldParts {
		part, err := strconv.ParseUint(p.Part, partBase, 64)
		if err != nil {
			return model.NodeView{}, Failed.New("field Part has value %q; accepted: a hexadecimal number", p.Part)
		}
		view.HeldParts = append(view.HeldParts, model.HeldPart{Part: part, Crashes: p.Crashes, Trials: p.Trials, TrialAt: p.TrialAt})
	}
	return view, nil
}

// encodeView returns the response that shows a view.
func encodeView(view model.NodeView) wireView {
	w := wireView{
		Node: view.Node, Zone: view.Zone, Incarnation: view.Incarnation, At: view.At, Version: view.Version, Fresh: view.Fresh,
		Ready: view.Ready, Draining: view.Draining, HoldsLease: view.HoldsLease, Relay: view.Relay, Peers: view.Peers,
		QueuedEvents: view.QueuedEvents, Requests: view.Requests, UpstreamCounts: view.UpstreamCounts, HeldCount: view.HeldCount,
		Upstreams: []wireUpstream{}, HeldParts: []wireHeldPart{},
	}
	for _, u := range view.Upstreams {
		w.Upstreams = append(w.Upstreams, wireUpstream{
			Name: u.Name, Service: u.Service, Zone: u.Zone, Kind: u.Kind.String(), Role: u.Role.String(), Standing: u.Standing.String(),
			Until: u.Until, Runs: u.Runs, Slots: u.Slots, Backlog: u.Backlog,
			TokenSeconds: u.TokenTime.Seconds(), WaitSeconds: u.Wait().Seconds(),
		})
	}
	for _, p := range view.HeldParts {
		w.HeldParts = append(w.HeldParts, wireHeldPart{strconv.FormatUint(p.Part, partBase), p.Crashes, p.Trials, p.TrialAt})
	}
	return w
}

func (u wireUpstream) decode() (model.UpstreamView, error) {
	decoded := model.UpstreamView{
		Name: u.Name, Service: u.Service, Zone: u.Zone, Until: u.Until, Runs: u.Runs, Slots: u.Slots, Backlog: u.Backlog,
		TokenTime: time.Duration(u.TokenSeconds * float64(time.Second)),
	}
	var err error
	if decoded.Kind, err = parseEnum("Kind", u.Kind, model.UpstreamPlain); err != nil {
		return decoded, err
	}
	if decoded.Role, err = parseEnum("Role", u.Role, model.RoleDecode); err != nil {
		return decoded, err
	}
	decoded.Standing, err = parseEnum("Standing", u.Standing, model.StandingUsable)
	return decoded, err
}

// parseEnum returns the value from zero to last with a name.
func parseEnum[E model.Enum](field, name string, last E) (E, error) {
	value, err := model.ParseEnum(name, last)
	if err != nil {
		return value, Failed.Wrap(err, "field %s", field)
	}
	return value, nil
}
