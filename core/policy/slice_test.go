package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/place"
)

// The speeds of the fake engines and the plan of the load. They were chosen
// before the first run and hold for all rows.
const (
	promptToken   = 100 * time.Microsecond
	stepBase      = 15 * time.Millisecond
	stepRequest   = 500 * time.Microsecond
	promptBase    = 3 * time.Millisecond
	promptPiece   = 1024
	mixedPiece    = 256
	slots         = 64
	cachePrefixes = 10
	transferBase  = 5 * time.Millisecond
	transferToken = 2 * time.Microsecond
	changeTerm    = 5 * time.Second
	cheapPrice    = 0.35
	reportEvery   = 250 * time.Millisecond
	reportLag     = 200 * time.Millisecond
	serveEvery    = 10 * time.Millisecond
	admitTerm     = 2 * time.Second
	firstTarget   = 450 * time.Millisecond
	nextTarget    = 51 * time.Millisecond
	latePriority  = -10
	// decodeRate is the tokens a second of an engine with 40 requests.
	prefillRate, decodeRate = 10000.0, 1143.0

	swingFrom, swingTo = 60 * time.Second, 240 * time.Second
	swingHalf          = 30 * time.Second
	noisyFrom, noisyTo = 150 * time.Second, 270 * time.Second
	lossFrom, lossTo   = 100 * time.Second, 160 * time.Second
	reclaimAt          = 300 * time.Second
	endAt              = 360 * time.Second
	// drainTerm lets the slowest row end all of its requests.
	drainTerm = 3 * time.Minute
)

// phase is a kind of load: requests a second, mean prompt and mean output.
type phase struct{ rate, prompt, output float64 }

// The rates are 0.7 of what twenty engines do if all work is spread evenly.
var (
	morning    = phase{95, 400, 120}
	promptRich = phase{40, 3000, 60}
	outputRich = phase{30, 300, 500}
	evening    = phase{12, 6000, 600}

	weights    = []float64{0.4, 0.25, 0.15, 0.1, 0.1}
	cheapShare = []float64{0.3, 0.3, 0.5, 0, 0.2}
)

const noisy = 4

func phaseAt(at time.Duration) phase {
	switch {
	case at < swingFrom:
		return morning
	case at >= swingTo:
		return evening
	case (at-swingFrom)/swingHalf%2 == 0:
		return promptRich
	}
	return outputRich
}

type job struct {
	account        int
	at, queued     time.Duration
	waits          bool
	last           time.Duration
	prompt, shared int
	output         int
	key            uint64
	inRate         bool
	restartable    bool

	todo           int // tokens of the prompt still to compute
	got, late      int
	first          time.Duration
	prefill        *machine
	decode         *machine
	cheap          bool
	run            int // counts restarts, so that old events have no effect
	done, finished bool
}

func (j *job) good() bool {
	return j.done && j.first <= firstTarget+time.Duration(j.prompt)*promptToken && 20*j.late <= j.output-1
}

// machine is a fake engine.
type machine struct {
	id      int
	zone    model.ZoneName
	cheap   bool
	role    model.Role
	down    bool
	to      model.Role
	closing bool // drains or changes its role
	away    bool // changes its role
	running bool
	prompts []*job
	batch   []*job
	joining []*job
	used    int // requests that hold a slot, known to the dispatcher
	cache   []uint64
	busy    time.Duration
	epoch   int
}

// view is a machine as placement sees it.
type view struct {
	*machine
	s *slice
	// only is the work that the view is for, or RoleBoth for any.
	only model.Role
}

type views struct {
	s    *slice
	only model.Role
}

func (v views) Len() int      { return len(v.s.machines) }
func (v views) At(i int) view { return view{v.s.machines[i], v.s, v.only} }

func (v view) Hash() uint64         { return uint64(v.id+1) * 0x9e3779b97f4a7c15 }
func (v view) Role() model.Role     { return v.role }
func (v view) Zone() model.ZoneName { return v.zone }
func (v view) Cheap() bool          { return v.cheap }
func (v view) Backlog() time.Duration {
	rate := float64(time.Second)
	if v.role != model.RolePrefill {
		rate /= 2
	}
	return time.Duration(v.s.backlogs.Drained(v.id, clock(v.s.now), rate))
}

func (v view) Load() (float64, bool) {
	load := float64(v.used) / slots
	wrong := v.only == model.RolePrefill && v.role == model.RoleDecode ||
		v.only == model.RoleDecode && v.role == model.RolePrefill
	return load, !v.down && !v.closing && !wrong && v.used < slots
}

type kind int

const (
	arrive kind = iota
	iterate
	join
	report
	reported
	serve
	adjust
	changed
	fault
)

type event struct {
	at      time.Duration
	seq     int
	kind    kind
	m       *machine
	j       *job
	n       int
	measure time.Duration
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// row is one way to decide.
type row struct {
	name string
	// roles tells the fixed or first role of a machine of a zone.
	roles func(indexInZone int) model.Role
	// pick returns the engines for a job.
	pick func(s *slice, j *job, draw uint64) (place.Plan, bool)
	// adjust returns new roles by machine, once a second.
	adjust func(s *slice) map[int]model.Role
	// fair is false for one queue over all accounts.
	fair bool
	// lateLast serves requests that missed their target after the others.
	lateLast bool
	// placed is told of every placement.
	placed func(s *slice, j *job)
	// arrived is told of every request.
	arrived func(s *slice, j *job)
}

// slice is twenty engines in three zones with one dispatcher.
type slice struct {
	row      row
	now      time.Duration
	machines []*machine
	jobs     []*job
	queue    fair.Queue[int, *job]
	events   events
	seq      int
	rng      *rand.Rand
	backlogs place.Tracker[int]
	changes  int
	cuts     int
	refused  int
}

func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// newSlice makes the engines and draws the load, which depends on the seed only.
func newSlice(r row, seed uint64) *slice {
	s := &slice{row: r, rng: rand.New(rand.NewPCG(seed, 2)), backlogs: place.NewTracker[int]()}
	s.queue = fair.New[int, *job](500 * time.Millisecond)
	for z, n := range []int{7, 7, 6} {
		for i := range n {
			s.machines = append(s.machines, &machine{
				id: len(s.machines), zone: model.ZoneName(fmt.Sprint("zone-", z)), cheap: i%3 == 2, role: r.roles(i),
			})
		}
	}
	load := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); at < endAt; {
		p := phaseAt(at)
		extra := 0.0
		if at >= noisyFrom && at < noisyTo {
			extra = 4 * weights[noisy]
		}
		at += time.Duration(load.ExpFloat64() / (p.rate * (1 + extra)) * float64(time.Second))
		j := &job{at: at, inRate: true, restartable: load.Float64() < 0.7}
		draw := load.Float64() * (1 + extra)
		j.account = noisy
		if draw < 1 {
			for j.account = 0; draw >= weights[j.account] && j.account < noisy; j.account++ {
				draw -= weights[j.account]
			}
		} else {
			j.inRate = false
		}
		j.shared = int(0.4 * p.prompt)
		j.prompt = max(j.shared, int(p.prompt*(0.5+load.Float64())))
		j.output = int(p.output * (0.5 + load.Float64()))
		j.key = uint64(j.account*12+load.IntN(12)+1)*1000003 + uint64(p.prompt)
		s.jobs = append(s.jobs, j)
	}
	s.after(s.jobs[0].at, event{kind: arrive})
	for i := range s.machines {
		s.after(time.Duration(i)*10*time.Millisecond, event{kind: report, m: s.machines[i]})
	}
	s.after(serveEvery, event{kind: serve})
	s.after(time.Second, event{kind: adjust})
	s.after(lossFrom, event{kind: fault, n: 0})
	s.after(lossTo, event{kind: fault, n: 1})
	s.after(reclaimAt, event{kind: fault, n: 2})
	return s
}

func (s *slice) after(d time.Duration, e event) {
	s.seq++
	e.at, e.seq = s.now+d, s.seq
	heap.Push(&s.events, e)
}

// run steps the clock from event to event until all requests have ended.
func (s *slice) run() {
	for len(s.events) > 0 && s.now < endAt+drainTerm {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch e.kind {
		case arrive:
			// One arrival is scheduled at a time, to keep the heap small.
			j := s.jobs[e.n]
			if e.n+1 < len(s.jobs) {
				s.after(s.jobs[e.n+1].at-s.now, event{kind: arrive, n: e.n + 1})
			}
			if s.row.arrived != nil {
				s.row.arrived(s, j)
			}
			if s.queue.Len() > 0 || !s.place(j) {
				s.enqueue(j)
			}
		case iterate:
			if e.n == e.m.epoch {
				s.iterated(e.m)
			}
		case join:
			if e.n == e.j.run {
				e.m.joining = append(e.m.joining, e.j)
				s.start(e.m)
			}
		case report:
			tokens := 0
			for _, j := range e.m.prompts {
				tokens += j.todo
			}
			s.after(reportLag, event{kind: reported, m: e.m, n: tokens, measure: s.now})
			s.after(reportEvery, event{kind: report, m: e.m})
		case reported:
			s.backlogs = s.backlogs.WithReport(e.m.id, clock(e.measure), float64(e.n)*float64(promptToken))
		case serve:
			s.serve()
			s.after(serveEvery, event{kind: serve})
		case adjust:
			if s.row.adjust != nil {
				s.adjust(s.row.adjust(s))
			}
			s.after(time.Second, event{kind: adjust})
		case changed:
			if e.n == e.m.epoch {
				e.m.role, e.m.closing, e.m.away = e.m.to, false, false
			}
		case fault:
			s.fault(e.n)
		}
	}
}

func (s *slice) fault(n int) {
	for _, m := range s.machines {
		switch {
		case n == 0 && m.id == 8:
			s.kill(m)
		case n == 1 && m.id == 8:
			m.down = false
		case n == 2 && m.zone == "zone-2" && m.cheap:
			s.kill(m)
		}
	}
}

// kill stops an engine. Work that can be started again waits for another one.
func (s *slice) kill(m *machine) {
	m.down, m.running, m.closing, m.away = true, false, false, false
	m.epoch++
	m.cache = nil
	for _, j := range s.jobs {
		if j.finished || j.decode != m && (j.prefill != m || j.got > 0) {
			continue
		}
		s.cuts++
		j.run++
		for _, held := range []*machine{j.prefill, j.decode} {
			if held == j.decode || j.got == 0 {
				held.used--
			}
			if j.prefill == j.decode {
				break
			}
		}
		drop := func(x *job) bool { return x == j }
		for _, held := range []*machine{j.prefill, j.decode} {
			held.prompts = slices.DeleteFunc(held.prompts, drop)
			held.batch = slices.DeleteFunc(held.batch, drop)
			held.joining = slices.DeleteFunc(held.joining, drop)
			s.drained(held)
		}
		j.prefill, j.decode, j.got, j.late = nil, nil, 0, 0
		if j.restartable {
			s.enqueue(j)
		} else {
			j.finished = true
		}
	}
}

func (s *slice) enqueue(j *job) {
	j.queued, j.waits = s.now, true
	owner, cost := 0, float64(j.output)+float64(j.prompt)/10+1
	if s.row.fair {
		// Accounts get service in proportion to their rates.
		owner = j.account
		cost /= weights[j.account]
	}
	s.queue = s.queue.WithItem(owner, fair.Item[*job]{
		Value: j, Cost: cost, Since: clock(s.now),
	})
}

// serve places waiting requests and refuses those that waited too long.
func (s *slice) serve() {
	if s.row.lateLast {
		s.demote()
	}
	for s.queue.Len() > 0 {
		owner, item, ok := s.queue.Next(clock(s.now), func(j *job) bool {
			if s.now > j.queued+admitTerm {
				return true
			}
			_, ok := s.row.pick(s, j, 0)
			return ok
		})
		if !ok {
			return
		}
		j := item.Value
		if s.now > j.queued+admitTerm {
			s.queue = s.queue.Without(owner, j)
			j.finished = true
			if j.inRate {
				s.refused++
			}
			continue
		}
		s.queue = s.queue.WithoutNext(owner)
		s.place(j)
	}
}

// demote moves requests that missed the target for the first token to lanes of
// a lower priority, so that they delay none that can still keep it.
func (s *slice) demote() {
	for a := range weights {
		for {
			item, ok := s.queue.First(a)
			if !ok || s.now <= item.Value.at+firstTarget {
				break
			}
			s.queue = s.queue.Without(a, item.Value)
			item.Priority = latePriority
			s.queue = s.queue.WithItem(len(weights)+a, item)
		}
	}
}

func (s *slice) place(j *job) bool {
	plan, ok := s.row.pick(s, j, s.rng.Uint64())
	if !ok {
		return false
	}
	j.prefill, j.decode = s.machines[plan.Prefill], s.machines[plan.Decode]
	j.cheap = j.prefill.cheap || j.decode.cheap
	if s.row.placed != nil {
		s.row.placed(s, j)
	}
	j.prefill.used++
	if j.decode != j.prefill {
		j.decode.used++
	}
	j.todo = j.prompt
	if i := slices.Index(j.prefill.cache, j.key); i >= 0 {
		j.todo = max(1, j.prompt-j.shared)
	}
	s.backlogs = s.backlogs.WithSend(j.prefill.id, clock(s.now), float64(j.prompt)*float64(promptToken))
	j.prefill.prompts = append(j.prefill.prompts, j)
	s.start(j.prefill)
	return true
}

// start begins an iteration of an engine that has work.
func (s *slice) start(m *machine) {
	if m.running || m.down {
		return
	}
	m.batch = append(m.batch, m.joining...)
	m.joining = m.joining[:0]
	if len(m.batch) == 0 && len(m.prompts) == 0 {
		s.drained(m)
		return
	}
	room, took := promptPiece, promptBase
	if len(m.batch) > 0 {
		room, took = mixedPiece, stepBase+time.Duration(len(m.batch))*stepRequest
	}
	for _, j := range m.prompts {
		n := min(room, j.todo)
		j.todo -= n
		room -= n
		took += time.Duration(n) * promptToken
		if room == 0 {
			break
		}
	}
	m.running = true
	m.busy += took
	s.after(took, event{kind: iterate, m: m, n: m.epoch})
}

// iterated ends an iteration: a token for each request of the batch, and the
// first token for each prompt that is complete.
func (s *slice) iterated(m *machine) {
	m.running = false
	m.batch = slices.DeleteFunc(m.batch, func(j *job) bool {
		if s.now-j.last > nextTarget {
			j.late++
		}
		return s.token(j)
	})
	m.prompts = slices.DeleteFunc(m.prompts, func(j *job) bool {
		if j.todo > 0 {
			return false
		}
		j.first = s.now - j.at
		m.cache = slices.DeleteFunc(m.cache, func(key uint64) bool { return key == j.key })
		m.cache = append(m.cache, j.key)
		if len(m.cache) > cachePrefixes {
			m.cache = m.cache[1:]
		}
		if s.token(j) {
			return true
		}
		if j.decode == m {
			m.joining = append(m.joining, j)
			return true
		}
		m.used--
		s.after(transferBase+time.Duration(j.prompt)*transferToken, event{kind: join, m: j.decode, j: j, n: j.run})
		return true
	})
	s.start(m)
}

func (s *slice) token(j *job) bool {
	j.got++
	j.last = s.now
	if j.got < j.output {
		return false
	}
	j.done, j.finished = true, true
	j.decode.used--
	return true
}

// adjust begins role changes. An engine takes no new work, ends what it has,
// and is away for changeTerm.
func (s *slice) adjust(to map[int]model.Role) {
	for _, m := range s.machines {
		role, ok := to[m.id]
		if !ok || m.down || m.closing {
			continue
		}
		m.to, m.closing = role, true
		s.changes++
		s.drained(m)
	}
}

func (s *slice) drained(m *machine) {
	if m.closing && !m.away && m.used == 0 {
		m.cache, m.away = nil, true
		s.after(changeTerm, event{kind: changed, m: m, n: m.epoch})
	}
}
