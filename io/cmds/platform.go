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
	// requestTimeout is the timeout of a call. The platform normally responds
	// within milliseconds.
	requestTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a response body in bytes.
	maxResponseBytes = 64 << 20
	// pageSize is the number of objects per page of a list.
	pageSize = 1000
	// maxWriteAttempts is how often a write whose response was lost is sent. A
	// retry has the same condition and nonce, so the write takes effect at most
	// once.
	maxWriteAttempts = 3
)

// platform is a client for the platform's object API.
type platform struct {
	base   string
	client *http.Client
}

// wireObject is an object in a response.
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

// wireError is the body of an error response.
type wireError struct {
	Reason  string
	Message string
}

func newPlatform(address netip.AddrPort) platform {
	return platform{base: "http://" + address.String(), client: &http.Client{
		Timeout:       requestTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// get fetches an object. The error is NotFound if it does not exist.
func (p platform) get(ctx context.Context, r ref) (object, error) {
	var wire wireObject
	if err := p.call(ctx, http.MethodGet, objectPath(r), nil, nil, &wire); err != nil {
		return object{}, err
	}
	return wire.object(r.kind), nil
}

// list fetches all objects of the given kinds, including deleted ones.
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
			"limit": {strconv.Itoa(pageSize)}, "kinds": {strings.Join(names, ",")},
		}
		var page wirePage
		if err := p.call(ctx, http.MethodGet, "/objects?"+query.Encode(), nil, nil, &page); err != nil {
			return objects{}, err
		}
		for _, wire := range page.Objects {
			if kind, ok := parseKind(wire.Kind, model.KindUsage); ok {
				all = append(all, wire.object(kind))
			}
		}
		if page.Next <= after || page.Next >= page.Revision {
			return newObjects(page.Revision, all), nil
		}
		after = page.Next
	}
}

// put sends a write with an encoded body. If a response was lost and a retry
// conflicts, it reads the object back: the nonce tells whose write it contains.
func (p platform) put(ctx context.Context, w write, body []byte, nonce string) (object, error) {
	method := http.MethodPut
	if w.value == nil {
		method = http.MethodDelete
	}
	header := http.Header{
		"If-Version": {strconv.FormatUint(uint64(w.ifVersion), 10)}, "Nonce": {nonce},
	}
	var lastErr error
	for range maxWriteAttempts {
		var wire wireObject
		err := p.call(ctx, method, objectPath(w.ref), header, body, &wire)
		switch {
		case err == nil:
			return wire.object(w.kind), nil
		case exitCode(err) == CodeConflict && lastErr != nil:
			return p.resolveConflict(ctx, w, nonce)
		case exitCode(err) != CodeUnreachable || isDialError(err):
			return object{}, err
		}
		lastErr = err
	}
	return object{}, Unreachable.New("%s may have been %s, but the response was lost: %s", w.ref, w.action(), errorText(lastErr))
}

// resolveConflict determines, after a retried write met a conflict, whether an
// earlier attempt took effect.
func (p platform) resolveConflict(ctx context.Context, w write, nonce string) (object, error) {
	current, err := p.get(ctx, w.ref)
	switch {
	case err == nil && current.nonce == nonce:
		return current, nil
	case exitCode(err) == CodeNotFound && w.value == nil:
		return object{ref: w.ref, deleted: true}, nil
	case err != nil && exitCode(err) != CodeNotFound:
		return object{}, Unreachable.New("%s may have been %s, but the response was lost: %s", w.ref, w.action(), errorText(err))
	default:
		return object{}, Conflict.New("%s was changed by another client, and the response to this write was lost: it may have been %s before that",
			w.ref, w.action())
	}
}

// call sends a request and decodes the response.
func (p platform) call(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return Failed.Wrap(err, "%s %s", method, path)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Client", "caroblane")
	status, data, err := doRequest(p.client, request, maxResponseBytes)
	if err != nil {
		return Unreachable.Wrap(err, "platform does not respond")
	}
	if status < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, result); err != nil {
			return Unreachable.New("platform responded to %s %s with invalid JSON: %v", method, path, err)
		}
		return nil
	}
	var response wireError
	if err := json.Unmarshal(data, &response); err != nil || response.Reason == "" {
		return Unreachable.New("platform responded to %s %s with status %d", method, path, status)
	}
	switch response.Reason {
	case "Conflict":
		return Conflict.New("%s was changed meanwhile: nothing was changed", strings.TrimPrefix(path, "/objects/"))
	case "NotFound":
		return NotFound.New("%s does not exist", strings.TrimPrefix(path, "/objects/"))
	default:
		return Failed.New("platform rejected %s %s: %s %s", method, path, response.Reason, response.Message)
	}
}

// doRequest sends a request and reads the whole response body.
func doRequest(client *http.Client, request *http.Request, maxBytes int64) (int, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return response.StatusCode, data, err
}

// isDialError reports whether the connection was not established, so that
// no part of the request was sent.
func isDialError(err error) bool {
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
	o.value, o.decodeErr = codec.DecodeConfig(kind, w.Value)
	if upstream, ok := o.value.(model.Upstream); ok {
		upstream.Name = model.UpstreamName(w.Name)
		o.value = upstream
	}
	return o
}

func objectPath(r ref) string { return "/objects/" + r.kind.Name() + "/" + url.PathEscape(r.name) }
