package setup

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"caroblane/core/model"
)

// Row describes one setting.
type Row struct {
	Section, Key string
	// Default is the value without a setting.
	Default string
	// Unit is empty for names.
	Unit string
	// Accepted is the accepted range.
	Accepted string
	// with returns the settings with a new value, or false if it is not
	// accepted.
	with func(Settings, string) (Settings, bool)
}

// Rows returns every setting in the order of the sample file.
func Rows() []Row { return rows() }

const (
	units     = "Go duration"
	namesText = "1 to 128 letters, digits and the characters . _ : - [ ]"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:\-\[\]]{1,128}$`)

func rows() []Row {
	return slices.Concat(
		section(
			"Node",
			name("Name", "", func(s *Settings) *model.NodeName { return &s.Node.Name }),
			name("Region", "local", func(s *Settings) *model.RegionName { return &s.Node.Region }),
			name("Zone", "local-a", func(s *Settings) *model.ZoneName { return &s.Node.Zone }),
		),
		section(
			"Listen",
			address("Callers", "127.0.0.1:8080", func(s *Settings) *netip.AddrPort { return &s.Listen.Callers }),
			address("Peers", "127.0.0.1:8081", func(s *Settings) *netip.AddrPort { return &s.Listen.Peers }),
			address("Admin", "127.0.0.1:8082", func(s *Settings) *netip.AddrPort { return &s.Listen.Admin }),
		),
		section(
			"Platform",
			address("Address", "127.0.0.1:8090", func(s *Settings) *netip.AddrPort { return &s.Platform.Address }),
		),
		section(
			"Limits",
			number("MaxBody", 8<<20, "bytes", 1<<10, 64<<20, func(s *Settings) *int { return &s.Limits.MaxBody }),
			number("MaxOpen", 8192, "requests", 1, 65536, func(s *Settings) *int { return &s.Limits.MaxOpen }),
			number("MaxWaiting", 4096, "requests", 0, 65536, func(s *Settings) *int { return &s.Limits.MaxWaiting }),
			term("AdmitWithin", 2*time.Second, 0, time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.AdmitWithin }),
			term("RequestWithin", 10*time.Minute, time.Second, time.Hour,
				func(s *Settings) *time.Duration { return &s.Limits.RequestWithin }),
			term("DrainNotice", 5*time.Second, 0, 5*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.DrainNotice }),
			term("DrainDeadline", 11*time.Minute, time.Second, 2*time.Hour,
				func(s *Settings) *time.Duration { return &s.Limits.DrainDeadline }),
			number("QueueCapacity", 16384, "events", 64, 1<<20, func(s *Settings) *int { return &s.Limits.QueueCapacity }),
		),
		section(
			"Log",
			choice("Level", "info", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
		),
		section(
			"Tls",
			path("CallerCertificate", func(s *Settings) *string { return &s.TLS.CallerCertificate }),
			path("CallerKey", func(s *Settings) *string { return &s.TLS.CallerKey }),
			path("PeerCertificate", func(s *Settings) *string { return &s.TLS.PeerCertificate }),
			path("PeerKey", func(s *Settings) *string { return &s.TLS.PeerKey }),
			path("PeerAuthority", func(s *Settings) *string { return &s.TLS.PeerAuthority }),
		),
	)
}

// section puts rows into a section.
func section(name string, rows ...Row) []Row {
	for i := range rows {
		rows[i].Section = name
	}
	return rows
}

// row makes a Row from a parser and the field that it fills.
func row[T any](key, fallback, unit, accepted string, field func(*Settings) *T, parse func(string) (T, bool)) Row {
	return Row{
		Key: key, Default: fallback, Unit: unit, Accepted: accepted,
		with: func(s Settings, text string) (Settings, bool) {
			value, ok := parse(text)
			*field(&s) = value
			return s, ok
		},
	}
}

func address(key, fallback string, field func(*Settings) *netip.AddrPort) Row {
	return row(key, fallback, "", "IP number and port, such as 10.0.0.3:8080", field,
		func(text string) (netip.AddrPort, bool) {
			value, err := netip.ParseAddrPort(text)
			return value, err == nil
		})
}

func choice(key, fallback string, choices []string, field func(*Settings) *string) Row {
	return row(key, fallback, "", fmt.Sprintf("one of %v", choices), field,
		func(text string) (string, bool) { return text, slices.Contains(choices, text) })
}

func name[T ~string](key, fallback string, field func(*Settings) *T) Row {
	return row(key, fallback, "", namesText, field,
		func(text string) (T, bool) { return T(text), text == fallback || namePattern.MatchString(text) })
}

func number(key string, fallback int, unit string, low, high int, field func(*Settings) *int) Row {
	return row(key, strconv.Itoa(fallback), unit, fmt.Sprintf("%d to %d %s", low, high, unit), field,
		func(text string) (int, bool) {
			value, err := strconv.Atoi(text)
			return value, err == nil && within(value, low, high)
		})
}

func path(key string, field func(*Settings) *string) Row {
	return row(key, "", "", "path of a PEM file", field,
		func(text string) (string, bool) { return text, true })
}

func term(key string, fallback, low, high time.Duration, field func(*Settings) *time.Duration) Row {
	return row(key, fallback.String(), units, fmt.Sprintf("%s to %s", low, high), field,
		func(text string) (time.Duration, bool) {
			value, err := time.ParseDuration(text)
			return value, err == nil && within(value, low, high)
		})
}

func within[T cmp.Ordered](value, low, high T) bool { return low <= value && value <= high }

// keysOf returns the keys of a section, or nil if there is no such section.
func keysOf(section string) []string {
	var keys []string
	for _, r := range rows() {
		if r.Section == section {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// sections returns the names of the sections.
func sections() []string {
	var names []string
	for _, r := range rows() {
		if !slices.Contains(names, r.Section) {
			names = append(names, r.Section)
		}
	}
	return names
}
