package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"caroblane/core/model"
	"caroblane/io/codec"
)

const (
	// callWithin bounds one call; the platform answers in milliseconds.
	callWithin = 5 * time.Second
	// maxAnswer bounds one answer.
	maxAnswer = 64 << 20
	// pageLimit is the number of objects in one answer of a list.
	pageLimit = 1000
	// maxTries bounds how often a write with a lost answer is sent. A repeat
	// has the same condition and nonce, so it takes effect at most once.
	maxTries = 3
)

// platform is a client of the object API.
type platform struct {
	base   string
	client *http.Client
}

// wireObject is an object in answers.
type wireObject struct {
	Kind       string
	Name       string
	Version    model.Version
	Generation uint64
	Deleted    bool
	Nonce      string
	Value      json.RawMessage
}

// wirePage is a page of a list.
type wirePage struct {
	Revision model.Version
	Next     model.Version
	Objects  []wireObject
}

// wireRefusal is the body of an answer that is an error.
type wireRefusal struct {
	Reason  string
	Message string
}

func newPlatform(address netip.AddrPort) platform {
	return platform{base: "http://" + address.String(), client: &http.Client{
		Timeout:       callWithin,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// get reads an object. The error is NotFound if it does not exist.
func (p platform) get(ctx context.Context, r ref) (object, error) {
	var wire wireObject
	if err := p.call(ctx, http.MethodGet, path(r), nil, nil, &wire); err != nil {
		return object{}, err
	}
	return wire.object(r.kind), nil
}

// list reads all objects of some kinds.
func (p platform) list(ctx context.Context, kinds ...model.Kind) (objects, error) {
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, kind.Name())
	}
	var all []object
	var after model.Version
	for {
		query := url.Values{
			"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {"0"},
			"limit": {strconv.Itoa(pageLimit)}, "kinds": {strings.Join(names, ",")},
		}
		var page wirePage
		if err := p.call(ctx, http.MethodGet, "/objects?"+query.Encode(), nil, nil, &page); err != nil {
			return objects{}, err
		}
		for _, wire := range page.Objects {
			if kind, ok := kindOf(wire.Kind, model.KindUsage); ok {
				all = append(all, wire.object(kind))
			}
		}
		if page.Next <= after || page.Next >= page.Revision {
			return newObjects(page.Revision, all), nil
		}
		after = page.Next
	}
}

// put carries out a write whose body is encoded. A lost answer is settled by
// reading the object back: its nonce tells whose write it holds.
func (p platform) put(ctx context.Context, w write, body []byte, nonce string) (object, error) {
	method := http.MethodPut
	if w.value == nil {
		method = http.MethodDelete
	}
	header := http.Header{
		"If-Version": {strconv.FormatUint(uint64(w.ifVersion), 10)}, "Nonce": {nonce},
	}
	var lost error
	for range maxTries {
		var wire wireObject
		err := p.call(ctx, method, path(w.ref), header, body, &wire)
		switch {
		case err == nil:
			return wire.object(w.kind), nil
		case exitCode(err) == CodeConflict && lost != nil:
			return p.settle(ctx, w, nonce)
		case exitCode(err) != CodeUnreachable || refusedConnection(err):
			return object{}, err
		}
		lost = err
	}
	return object{}, Unreachable.New("%s may have been %s, its answer was lost: %s", w.ref, w.action(), text(lost))
}

// settle tells after a conflict on a repeated write whether an earlier sending
// of it took effect.
func (p platform) settle(ctx context.Context, w write, nonce string) (object, error) {
	held, err := p.get(ctx, w.ref)
	switch {
	case err == nil && held.nonce == nonce:
		return held, nil
	case exitCode(err) == CodeNotFound && w.value == nil:
		return object{ref: w.ref, deleted: true}, nil
	case err != nil && exitCode(err) != CodeNotFound:
		return object{}, Unreachable.New("%s may have been %s, its answer was lost: %s", w.ref, w.action(), text(err))
	default:
		return object{}, Conflict.New("%s was changed by somebody else, and the answer to this write was lost: it may have been %s before that",
			w.ref, w.action())
	}
}

// call makes one call and decodes its answer.
func (p platform) call(ctx context.Context, method, path string, header http.Header, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return Failed.Wrap(err, "%s %s", method, path)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Client", "caroblane")
	status, data, err := exchange(p.client, request)
	if err != nil {
		return Unreachable.Wrap(err, "platform does not answer")
	}
	if status < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, answer); err != nil {
			return Unreachable.New("platform's answer to %s %s is not JSON: %v", method, path, err)
		}
		return nil
	}
	var refusal wireRefusal
	if err := json.Unmarshal(data, &refusal); err != nil || refusal.Reason == "" {
		return Unreachable.New("platform answers %s %s with status %d", method, path, status)
	}
	switch refusal.Reason {
	case "Conflict":
		return Conflict.New("%s was changed meanwhile: nothing was changed", strings.TrimPrefix(path, "/objects/"))
	case "NotFound":
		return NotFound.New("%s does not exist", strings.TrimPrefix(path, "/objects/"))
	default:
		return Failed.New("platform refuses %s %s: %s %s", method, path, refusal.Reason, refusal.Message)
	}
}

// exchange sends a request and reads the whole answer.
func exchange(client *http.Client, request *http.Request) (int, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return response.StatusCode, data, err
}

// refusedConnection tells that no byte of the call was sent.
func refusedConnection(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

func (w wireObject) object(kind model.Kind) object {
	o := object{
		ref: ref{kind, w.Name}, version: w.Version, generation: w.Generation,
		nonce: w.Nonce, deleted: w.Deleted, raw: w.Value,
	}
	if w.Deleted || kind > model.KindRoster {
		return o
	}
	o.value, o.fault = codec.DecodeConfig(kind, w.Value)
	if upstream, ok := o.value.(model.Upstream); ok {
		upstream.Name = model.UpstreamName(w.Name)
		o.value = upstream
	}
	return o
}

func path(r ref) string { return "/objects/" + r.kind.Name() + "/" + url.PathEscape(r.name) }
