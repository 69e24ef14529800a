//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize limits the objects of one page of a list.
const pageSize = 500

// meta is the metadata of a stored object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of the history.
type change struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
}

// copyOf is a copy of the store at a time.
type copyOf struct {
	at      time.Time
	rev     uint64
	objects map[string]object
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	log     *record

	mu      sync.Mutex
	era     int
	rev     uint64
	objects map[string]object
	history []change
	copies  []copyOf
	changed chan struct{}
	server  *http.Server
	// external has what the operator and the workers wrote last.
	external map[string]json.RawMessage
	// calls counts the writes of the system by kind.
	calls map[string]int
}

func newStore(address string, log *record) *store {
	return &store{
		address: address, log: log, era: 1, rev: 100, objects: map[string]object{}, changed: make(chan struct{}),
		external: map[string]json.RawMessage{}, calls: map[string]int{},
	}
}

// open begins to serve.
func (s *store) open() {
	listener, err := net.Listen("tcp", s.address)
	check(err, "listen for the store")
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
}

// put writes an object of the operator or of a worker and returns when it was accepted.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	check(err, "encode object")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.external[kind+"/"+name] = data
	s.set(kind, name, data)
	return time.Now()
}

// remove removes an object of the operator or of a worker.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.external, kind+"/"+name)
	s.drop(kind, name)
}

// set writes an object. The caller holds the mutex.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	old, found := s.objects[key]
	if found && string(old.Spec) == string(spec) {
		return old
	}
	s.rev++
	next := object{Metadata: meta{Name: name, Revision: s.rev, CreateRev: s.rev, Finalizers: []string{}}, Spec: spec}
	if found {
		next.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[key] = next
	s.note(change{Object: next, kind: kind})
	return next
}

// drop removes an object. The caller holds the mutex.
func (s *store) drop(kind, name string) {
	old := s.objects[kind+"/"+name]
	s.rev++
	old.Metadata.Revision = s.rev
	delete(s.objects, kind+"/"+name)
	s.note(change{Object: old, Tombstone: true, kind: kind})
}

// note adds a change to the history and keeps a copy of the store. The caller holds the mutex.
func (s *store) note(c change) {
	s.history = append(s.history, c)
	objects := make(map[string]object, len(s.objects))
	for key, o := range s.objects {
		objects[key] = o
	}
	s.copies = append(s.copies, copyOf{time.Now(), s.rev, objects})
	close(s.changed)
	s.changed = make(chan struct{})
}

// drill takes the store away for a time and brings it back from a copy of the given age. What
// the operator and the workers wrote since is written again.
func (s *store) drill(age, away time.Duration) {
	begin := time.Now()
	_ = s.server.Close()
	s.mu.Lock()
	before := s.rev
	from := s.copies[0]
	for _, c := range s.copies {
		if c.at.Before(begin.Add(-age)) {
			from = c
		}
	}
	s.rev, s.era = from.rev, s.era+1
	s.objects = make(map[string]object, len(from.objects))
	for key, o := range from.objects {
		s.objects[key] = o
	}
	kept := s.history[:0:0]
	for _, c := range s.history {
		if c.Object.Metadata.Revision <= from.rev {
			kept = append(kept, c)
		}
	}
	s.history = kept
	var again []string
	for key := range s.external {
		if string(s.objects[key].Spec) != string(s.external[key]) {
			again = append(again, key)
		}
	}
	sort.Strings(again)
	for _, key := range again {
		kind, name, _ := strings.Cut(key, "/")
		s.set(kind, name, s.external[key])
	}
	after := s.rev
	s.mu.Unlock()
	s.log.add("drill: store away; revision was %d", before)
	time.Sleep(away)
	s.open()
	s.log.add("drill: store back after %v from a copy %v old: revision %d, then %d after %v was written again",
		away, age, from.rev, after, again)
}

// spec returns the stored value of an object.
func (s *store) spec(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind+"/"+name].Spec)
}

// revision returns the revision of the store.
func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if !ok || kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data := []byte("{}")
	if body != nil {
		data, _ = json.Marshal(body)
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind+"/"+name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": len(names) > pageSize, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rev, changed := s.rev, s.changed
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if after > rev {
			answer(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	switch r.Method {
	case http.MethodPost:
		name = sent.Metadata.Name
		if old, found := s.objects[kind+"/"+name]; found {
			answer(w, http.StatusConflict, old)
			return
		}
		answer(w, http.StatusOK, s.set(kind, name, sent.Spec))
	case http.MethodPut:
		old, found := s.objects[kind+"/"+name]
		switch {
		case !found:
			answer(w, http.StatusNotFound, nil)
		case sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
			answer(w, http.StatusConflict, old)
		default:
			answer(w, http.StatusOK, s.set(kind, name, sent.Spec))
		}
	case http.MethodDelete:
		old, found := s.objects[kind+"/"+name]
		revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		switch {
		case !found:
			answer(w, http.StatusNotFound, nil)
		case revision != 0 && revision != old.Metadata.Revision:
			answer(w, http.StatusConflict, old)
		default:
			s.drop(kind, name)
			answer(w, http.StatusOK, old)
		}
	default:
		answer(w, http.StatusMethodNotAllowed, nil)
	}
}
