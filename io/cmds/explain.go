package cmds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/io/logs"
)

const (
	// lookback is how long before the start of a request the events of its
	// upstreams are shown, such as a late registration or a suspected failure.
	lookback        = 10 * time.Second
	maxLogLineBytes = 1 << 20
	// maxUpstreamLines and maxUpstreamBytes limit the lines about upstreams of one log
	// that are kept in memory, and maxRequestLines and maxRequestBytes those of the request
	// of all logs. The oldest ones are dropped first.
	maxUpstreamLines = 1 << 17
	maxUpstreamBytes = 64 << 20
	maxRequestLines  = 1 << 14
	maxRequestBytes  = 16 << 20
)

// logEntry is a log line with its source: the file name, followed by the line's
// prefix if a log collector merged the logs of several nodes.
type logEntry struct {
	source string
	// size is the length of the line in bytes.
	size int
	logs.Line
}

// recentEntries are the last entries of a log, up to a number and a size.
type recentEntries struct {
	maxLines, maxBytes int
	// entries begins at first; what is before has been dropped.
	entries []logEntry
	first   int
	bytes   int
}

// explainLogs is what is kept of the logs that have been read.
type explainLogs struct {
	// request has the lines of the request.
	request recentEntries
	// earliest is the first line of the request, and upstreams are the lines about
	// upstreams of its log.
	earliest  logEntry
	upstreams []logEntry
}

// requestTrace holds the log lines that belong to a request.
type requestTrace struct {
	request string
	entries []logEntry
}

func (r *runner) explainCommand() *cli.Command {
	return r.command(commandSpec{
		name: "explain", usage: "show the log lines of a request", args: "REQUEST-ID [FILE...]", offline: true,
		description: "Reads the logs of entry nodes from files, or from standard input. Prints the decisions about the request\n" +
			"with their inputs, the state changes of its upstreams while it ran and in the ten seconds before, and its outcome.",
		example: "caroblane explain 9c41d07be2a35f68 front-*.log",
		action: func(_ context.Context, _ *cli.Command, args []string) error {
			trace, err := r.explain(args[0], args[1:])
			if err != nil {
				return err
			}
			r.printTrace(trace)
			return nil
		},
	})
}

// explain reads logs, one after the other, and returns the trace of a request. Of the
// lines about upstreams, it keeps only those of the log in which the request began.
func (r *runner) explain(request string, files []string) (requestTrace, error) {
	found := explainLogs{request: recentEntries{maxLines: maxRequestLines, maxBytes: maxRequestBytes}}
	if len(files) == 0 {
		if err := found.read("-", r.env.In, request); err != nil {
			return requestTrace{}, err
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return requestTrace{}, Usage.New("log %s cannot be read: %v", name, err)
		}
		err = found.read(name, file, request)
		_ = file.Close()
		if err != nil {
			return requestTrace{}, err
		}
	}
	return newRequestTrace(request, append(found.request.all(), found.upstreams...))
}

// read adds the lines of a log that concern the request. If the request began in it, the
// lines about upstreams replace those of another log.
func (f *explainLogs) read(name string, in io.Reader, request string) error {
	upstreams := recentEntries{maxLines: maxUpstreamLines, maxBytes: maxUpstreamBytes}
	lines, began := 0, false
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		line, ok := logs.Parse(scanner.Text())
		if !ok {
			continue
		}
		lines++
		source := name
		if prefix := strings.Fields(line.Prefix); len(prefix) > 0 {
			source += " " + prefix[len(prefix)-1]
		}
		entry := logEntry{source, len(scanner.Bytes()), line}
		switch of := line.Get("Request"); {
		case of == request:
			f.request.add(entry)
			if f.earliest.source == "" || entry.At.Before(f.earliest.At) {
				f.earliest, began = entry, true
			}
		case of == "" && upstreamOf(line) != "":
			upstreams.add(entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return Usage.New("log %s cannot be read: %v", name, err)
	}
	if lines == 0 {
		return Usage.New("log %s contains no lines of an entry node", name)
	}
	if began {
		f.upstreams = upstreams.all()
	}
	return nil
}

// add adds an entry and drops the oldest ones beyond the limits.
func (r *recentEntries) add(e logEntry) {
	r.entries = append(r.entries, e)
	r.bytes += e.size
	for len(r.entries)-r.first > r.maxLines || r.bytes > r.maxBytes && len(r.entries)-r.first > 1 {
		r.bytes -= r.entries[r.first].size
		r.entries[r.first] = logEntry{}
		r.first++
	}
	// Half of the list is free then, so that an addition takes constant time on average.
	if r.first > len(r.entries)/2 {
		r.entries = append([]logEntry(nil), r.entries[r.first:]...)
		r.first = 0
	}
}

// all returns the entries that are left.
func (r *recentEntries) all() []logEntry { return r.entries[r.first:] }

// upstreamOf returns the name of the upstream that a line concerns.
func upstreamOf(line logs.Line) string {
	if name := line.Get("Upstream"); name != "" {
		return name
	}
	return line.Get("Subject")
}

// newRequestTrace selects the lines of a request and of its upstreams and sorts
// them by time.
func newRequestTrace(request string, all []logEntry) (requestTrace, error) {
	trace := requestTrace{request: request}
	upstreams := map[string]bool{}
	for _, e := range all {
		if e.Get("Request") == request {
			trace.entries = append(trace.entries, e)
			upstreams[upstreamOf(e.Line)] = true
		}
	}
	if len(trace.entries) == 0 {
		return trace, NotFound.New("request %q does not occur in the logs", request)
	}
	byTime := func(a, b logEntry) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(trace.entries, byTime)
	from, to := trace.startTime().Add(-lookback), trace.entries[len(trace.entries)-1].At
	node := trace.entries[0].source
	for _, e := range all {
		if e.Get("Request") == "" && e.source == node && upstreams[upstreamOf(e.Line)] && !e.At.Before(from) && !e.At.After(to) {
			trace.entries = append(trace.entries, e)
		}
	}
	slices.SortStableFunc(trace.entries, byTime)
	return trace, nil
}

// startTime returns the start time of the first attempt, or the time of the
// first line if no attempt was logged.
func (t requestTrace) startTime() time.Time {
	first := time.Time{}
	for _, e := range t.entries {
		at := e.At
		if elapsed, err := time.ParseDuration(e.Get("After") + "ms"); err == nil {
			at = at.Add(-elapsed)
		}
		if e.Get("Request") == t.request && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// outcome describes the outcome of the request.
func (t requestTrace) outcome() string {
	last := logs.Line{}
	for _, e := range t.entries {
		if e.Get("Request") == t.request {
			last = e.Line
		}
	}
	switch {
	case last.Get("Abort") != "":
		return "connection aborted, " + last.Get("Abort")
	case last.Get("Reason") != "":
		return fmt.Sprintf("status %s, %s, %s", last.Get("Status"), last.Get("Reason"), last.Get("Execution"))
	case last.Get("Outcome") != "":
		return fmt.Sprintf("%s at %s with status %s", last.Get("Outcome"), last.Get("Upstream"), last.Get("Status"))
	default:
		return "not found in the logs"
	}
}

// details formats the fields of a line, except for the request ID.
func (e logEntry) details() string {
	var parts []string
	for _, field := range e.Fields {
		if field.Key != "Request" {
			parts = append(parts, field.Key+"="+field.Value)
		}
	}
	return strings.Join(parts, " ")
}

func (r *runner) printTrace(trace requestTrace) {
	startAt := trace.startTime()
	after := func(e logEntry) string { return fmt.Sprintf("%+.3f", e.At.Sub(startAt).Seconds()) }
	if r.json {
		type row struct {
			AfterSeconds string
			Log          string
			Event        string
			Details      string
		}
		document := struct {
			Request string
			StartAt time.Time
			End     string
			Lines   []row
		}{Request: trace.request, StartAt: startAt, End: trace.outcome()}
		for _, e := range trace.entries {
			document.Lines = append(document.Lines, row{after(e), e.source, e.Message, e.details()})
		}
		r.printJSON(document)
		return
	}
	printTable(r, []column[logEntry]{
		{"SECONDS", after},
		{"EVENT", func(e logEntry) string { return e.Message }},
		{"DETAILS", logEntry.details},
	}, trace.entries)
	_, _ = fmt.Fprintf(r.env.Out, "\nstarted %s, end: %s\n", startAt.Format(time.RFC3339Nano), trace.outcome())
}
