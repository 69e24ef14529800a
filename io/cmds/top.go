package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
	"caroblane/io/admin"
)

const (
	// topCallTimeout limits the wait for one node, and topRoundTimeout that for all of
	// them, so that many silent nodes do not delay the view of the others for long.
	topCallTimeout  = 2 * time.Second
	topRoundTimeout = 10 * time.Second
	minTopInterval  = 200 * time.Millisecond
	maxTopInterval  = time.Hour
	// screenWidth is the width of a terminal that the tables fit.
	screenWidth = 80
	// clearScreen moves the cursor to the upper left corner and clears the screen.
	clearScreen = "\x1b[H\x1b[2J"
)

// topRow is the answer of a node.
type topRow struct {
	node
	view model.NodeView
	// body is the encoded view, which is kept for output as JSON only.
	body json.RawMessage
	err  error
}

// topRound is what all nodes answered at one time.
type topRound struct {
	at   time.Time
	rows []topRow
	// listErr is set if the nodes are those of an earlier round, because they could not
	// be listed again.
	listErr error
}

func (r *runner) topCommand() *cli.Command {
	return r.command(commandSpec{
		name: "top", usage: "show what nodes believe and where their requests wait", args: "[NAME...]", platformOptional: true,
		description: "Asks the nodes in the rosters and those given with --admin, or only the named ones, again and again until it is\n" +
			"interrupted. For a single node, its upstreams and the held parts of prompts are shown too. A node that does not\n" +
			"answer is shown as silent. Exits with code 5 if none answers with --once.",
		example: "caroblane --admin node-0=10.0.0.1:9103 top --once",
		flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Usage: "time between two views", Value: 2 * time.Second},
			&cli.BoolFlag{Name: "once", Usage: "show one view and exit"},
		},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			interval := cmd.Duration("interval")
			if interval < minTopInterval || interval > maxTopInterval {
				return Usage.New("flag --interval has value %s; accepted: %s to %s", interval, minTopInterval, maxTopInterval)
			}
			return r.top(ctx, args, interval, cmd.Bool("once"))
		},
	})
}

// top shows one view, or one in each interval until the context ends.
func (r *runner) top(ctx context.Context, names []string, interval time.Duration, once bool) error {
	nodes, err := r.topNodes(ctx, names)
	if err != nil {
		return err
	}
	for {
		round := topRound{at: r.env.Now(), listErr: err}
		round.rows = r.fetchViews(ctx, nodes)
		if ctx.Err() != nil {
			return nil
		}
		r.printTop(round)
		if once {
			return round.silentError()
		}
		if r.env.Wait(ctx, interval) != nil {
			return nil
		}
		var listed []node
		if listed, err = r.topNodes(ctx, names); err == nil {
			nodes = listed
		}
	}
}

// topNodes returns the named nodes, or all if there are no names. Without the platform,
// they are those given with --admin.
func (r *runner) topNodes(ctx context.Context, names []string) ([]node, error) {
	nodes := nodesFromRosters(nil, r.addresses, r.adminPort)
	if r.platform.client != nil {
		listed, err := r.nodes(ctx)
		if err != nil {
			return nil, err
		}
		nodes = listed
	}
	if len(names) == 0 {
		return nodes, nil
	}
	var named []node
	for _, name := range names {
		n, err := findNode(nodes, name)
		if err != nil {
			return nil, err
		}
		named = append(named, n)
	}
	return named, nil
}

// fetchViews asks nodes for their views, up to maxConcurrentCalls at a time. Of several
// nodes, only what their rows show is kept.
func (r *runner) fetchViews(ctx context.Context, nodes []node) []topRow {
	ctx, cancel := context.WithTimeout(ctx, topRoundTimeout)
	defer cancel()
	return parallelMap(nodes, func(n node) topRow {
		row := r.fetchView(ctx, n)
		if len(nodes) > 1 {
			row.view.Upstreams, row.view.HeldParts = nil, nil
		}
		return row
	})
}

func (r *runner) fetchView(ctx context.Context, n node) topRow {
	ctx, cancel := context.WithTimeout(ctx, topCallTimeout)
	defer cancel()
	row := topRow{node: n}
	var data []byte
	if data, row.err = r.callAdminUpTo(ctx, n, http.MethodGet, admin.PathView, admin.MaxViewBytes+1); row.err != nil {
		return row
	}
	if len(data) > admin.MaxViewBytes {
		row.err = Unreachable.New("node %s returned a view of more than %d bytes", n.Name, admin.MaxViewBytes)
		return row
	}
	view, err := admin.DecodeView(data)
	if err != nil {
		row.err = Unreachable.New("node %s returned an invalid view: %s", n.Name, errorText(err))
		return row
	}
	row.view = view
	if r.json {
		row.body = data
	}
	return row
}

// silentError returns an error if no node answered.
func (t topRound) silentError() error {
	for _, row := range t.rows {
		if row.err == nil {
			return nil
		}
	}
	if len(t.rows) == 0 {
		return NotFound.New("no node is listed")
	}
	return Unreachable.New("none of %d nodes shows its view: %s", len(t.rows), errorText(t.rows[0].err))
}

func (r *runner) printTop(round topRound) {
	if r.json {
		r.printTopJSON(round)
		return
	}
	if r.env.Screen {
		_, _ = fmt.Fprint(r.env.Out, clearScreen)
	}
	answered := 0
	for _, row := range round.rows {
		if row.err == nil {
			answered++
		}
	}
	r.printLine("%s  %d of %d nodes answer", round.at.UTC().Format(time.RFC3339), answered, len(round.rows))
	if round.listErr != nil {
		r.printLine("nodes of an earlier list: %s", errorText(round.listErr))
	}
	printTable(r, nodeColumns(), round.rows)
	for _, row := range round.rows {
		if row.err != nil {
			r.printLine("%s: %s", row.Name, errorText(row.err))
		}
	}
	if len(round.rows) == 1 && round.rows[0].err == nil {
		r.printNodeView(round.rows[0].view)
	}
	if !r.env.Screen {
		_, _ = fmt.Fprintln(r.env.Out)
	}
}

// printNodeView prints the upstreams and the held parts that a node shows.
func (r *runner) printNodeView(view model.NodeView) {
	if len(view.Upstreams) > 0 {
		r.printLine("")
		r.printLine("%d upstreams, %d shown", view.UpstreamCounts.All, len(view.Upstreams))
		printTable(r, upstreamColumns(view.At), view.Upstreams)
	}
	if view.HeldCount > 0 {
		r.printLine("")
		r.printLine("%d held parts of prompts, %d shown", view.HeldCount, len(view.HeldParts))
		printTable(r, heldPartColumns(view.At), view.HeldParts)
	}
}

func (r *runner) printTopJSON(round topRound) {
	type answer struct {
		Node   model.NodeName
		Answer string
		View   json.RawMessage `json:",omitempty"`
	}
	document := struct {
		At        time.Time
		ListFault string `json:",omitempty"`
		Nodes     []answer
	}{At: round.at, Nodes: []answer{}}
	if round.listErr != nil {
		document.ListFault = formatError(round.listErr)
	}
	for _, row := range round.rows {
		a := answer{Node: row.Name, Answer: "ok", View: row.body}
		if row.err != nil {
			a.Answer = formatError(row.err)
		}
		document.Nodes = append(document.Nodes, a)
	}
	r.printJSON(document)
}

// printLine prints a line that fits the screen.
func (r *runner) printLine(format string, args ...any) {
	_, _ = fmt.Fprintln(r.env.Out, shorten(sanitize(fmt.Sprintf(format, args...)), screenWidth))
}

// nodeColumns returns the columns of nodes, which add up to screenWidth at most.
func nodeColumns() []column[topRow] {
	number := func(title string, value func(model.NodeView) int) column[topRow] {
		return column[topRow]{title, func(row topRow) string {
			if row.err != nil {
				return ""
			}
			return shortNumber(value(row.view))
		}}
	}
	return []column[topRow]{
		{"NODE", func(row topRow) string { return shorten(string(row.Name), 14) }},
		{"STATE", func(row topRow) string { return row.state() }},
		number("QUEUE", func(v model.NodeView) int { return v.Requests.Queue }),
		number("PROMPT", func(v model.NodeView) int { return v.Requests.Prompt }),
		number("XFER", func(v model.NodeView) int { return v.Requests.Transfer }),
		number("SENT", func(v model.NodeView) int { return v.Requests.Started }),
		number("RUN", func(v model.NodeView) int { return v.Requests.Running }),
		number("LEAVE", func(v model.NodeView) int { return v.UpstreamCounts.Leaving }),
		number("PAUSE", func(v model.NodeView) int { return v.UpstreamCounts.Paused }),
		number("HELD", func(v model.NodeView) int { return v.HeldCount }),
	}
}

// state describes what a node believes of itself: whether it admits requests, then L for
// the holder of the lease and R for a relay.
func (row topRow) state() string {
	state := "unready"
	switch {
	case row.err != nil:
		return "silent"
	case row.view.Draining:
		state = "drain"
	case !row.view.Fresh:
		state = "stale"
	case row.view.Ready:
		state = "ready"
	}
	if row.view.HoldsLease {
		state += ",L"
	}
	if row.view.Relay != "" && row.view.Relay == row.view.Node {
		state += ",R"
	}
	return state
}

func upstreamColumns(at time.Time) []column[model.UpstreamView] {
	engineOnly := func(cell func(model.UpstreamView) string) func(model.UpstreamView) string {
		return func(u model.UpstreamView) string {
			if u.Kind != model.UpstreamEngine {
				return ""
			}
			return cell(u)
		}
	}
	return []column[model.UpstreamView]{
		{"UPSTREAM", func(u model.UpstreamView) string { return shorten(string(u.Name), 14) }},
		{"ZONE", func(u model.UpstreamView) string { return shorten(string(u.Zone), 8) }},
		{"ROLE", engineOnly(func(u model.UpstreamView) string { return strings.TrimPrefix(u.Role.String(), "Role") })},
		{"STANDING", func(u model.UpstreamView) string { return u.Standing.String() }},
		{"FOR", func(u model.UpstreamView) string { return remaining(u.Until, at) }},
		{"RUNS", func(u model.UpstreamView) string { return shortNumber(u.Runs) + "/" + shortNumber(u.Slots) }},
		{"TOKENS", engineOnly(func(u model.UpstreamView) string { return shortNumber(int(u.Backlog)) })},
		{"WAIT", engineOnly(func(u model.UpstreamView) string { return shortDuration(u.Wait()) })},
		{"TOK/S", engineOnly(func(u model.UpstreamView) string {
			if u.TokenTime <= 0 {
				return ""
			}
			return shortNumber(int(time.Second / u.TokenTime))
		})},
	}
}

func heldPartColumns(at time.Time) []column[model.HeldPart] {
	return []column[model.HeldPart]{
		{"PART", func(p model.HeldPart) string { return strconv.FormatUint(p.Part, 16) }},
		{"CRASHES", func(p model.HeldPart) string { return shortNumber(p.Crashes) }},
		{"TRIALS", func(p model.HeldPart) string { return shortNumber(p.Trials) }},
		{"NEXT TRIAL", func(p model.HeldPart) string { return cmp.Or(remaining(p.TrialAt, at), "due") }},
	}
}

// remaining returns the time left until a moment, or an empty string if it is over or not
// known.
func remaining(until, at time.Time) string {
	if !until.After(at) {
		return ""
	}
	return shortDuration(until.Sub(at))
}

// shortDuration formats a duration in at most six characters.
func shortDuration(d time.Duration) string {
	switch {
	case d >= 100*time.Hour:
		return ">100h"
	case d >= 100*time.Minute:
		return fmt.Sprintf("%.0fh", d.Hours())
	case d >= 100*time.Second:
		return fmt.Sprintf("%.0fm", d.Minutes())
	case d >= time.Second:
		return fmt.Sprintf("%.1fs", d.Seconds())
	default:
		return fmt.Sprintf("%dms", d.Milliseconds())
	}
}

// shortNumber formats a number in at most five characters.
func shortNumber(n int) string {
	switch {
	case n < 100_000:
		return strconv.Itoa(n)
	case n < 1_000_000:
		return strconv.Itoa(n/1000) + "k"
	case n < 1_000_000_000:
		return strconv.Itoa(n/1_000_000) + "M"
	default:
		return ">1G"
	}
}

// shorten cuts a text to a number of characters.
func shorten(text string, width int) string {
	runes := []rune(text)
	if len(runes) <= width {
		return text
	}
	return string(runes[:width-1]) + "…"
}
