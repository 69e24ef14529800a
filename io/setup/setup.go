// Package setup reads the settings file of the entry daemon: INI with
// Pascal-case keys, in which unknown sections and keys are errors.
package setup

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"

	"caroblane/core/model"
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("setup")

// The types of errors that Load and Parse return.
var (
	// Invalid lists every fault of a settings file, one on each line.
	Invalid = Errors.NewType("invalid")
	// Unreadable means that the file could not be read.
	Unreadable = Errors.NewType("unreadable")
)

// Settings are the settings of one entry daemon. Values are never changed in
// place.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Limits   Limits
	Log      Log
	TLS      TLS
}

// Node says who the process is.
type Node struct {
	// Name is unique within the region. Without a setting it is the address of
	// the peer listener.
	Name   model.NodeName
	Region model.RegionName
	Zone   model.ZoneName
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort
}

// Platform says where the platform's object API is.
type Platform struct{ Address netip.AddrPort }

// Limits bounds what the process holds and how long it waits.
type Limits struct {
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// MaxOpen bounds the open requests.
	MaxOpen int
	// MaxWaiting bounds the requests that wait for a token of their account.
	MaxWaiting int
	// AdmitWithin is how long a request waits for a token.
	AdmitWithin time.Duration
	// RequestWithin is how long a request runs.
	RequestWithin time.Duration
	// DrainNotice is how long a graceful shutdown goes on serving after
	// readiness has failed, so that the balancer can move callers away.
	DrainNotice time.Duration
	// DrainDeadline is how long a graceful shutdown waits for open requests. It
	// is at least RequestWithin, so that a shutdown cuts no request.
	DrainDeadline time.Duration
	// QueueCapacity is the capacity of the event queue.
	QueueCapacity int
}

// Log says what is logged.
type Log struct{ Level string }

// TLS names the certificate files. Empty names mean plain text.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	PeerAuthority     string
}

// Default returns the settings of an empty file.
func Default() Settings {
	settings, err := Parse("defaults", nil)
	if err != nil {
		panic(err) // A default outside its own range is a programming error.
	}
	return settings
}

// Load reads a settings file. The error is Unreadable or Invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Unreadable.New("%v", err)
	}
	return Parse(path, data)
}

// Parse reads settings from the content of the named file. The error is Invalid
// and lists every fault with file, section, key, value and accepted range.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
	}, data)
	if err != nil {
		return Settings{}, Invalid.New("%s: not an INI file: %s", name, shown(strings.TrimSpace(err.Error())))
	}
	var settings Settings
	var faults []string
	report := func(section, key, text string) {
		faults = append(faults, fmt.Sprintf("%s: section %s, key %s: %s", name, section, key, text))
	}
	for _, unknown := range unknownNames(file) {
		report(unknown.section, unknown.key, unknown.text)
	}
	for _, r := range rows() {
		value := r.Default
		if section, err := file.GetSection(r.Section); err == nil && section.HasKey(r.Key) {
			values := section.Key(r.Key).ValueWithShadows()
			if len(values) > 1 {
				report(r.Section, r.Key, fmt.Sprintf("%d values; accepted: one", len(values)))
				continue
			}
			value = section.Key(r.Key).Value()
		}
		next, ok := r.with(settings, value)
		if !ok {
			report(r.Section, r.Key, fmt.Sprintf("value %q; accepted: %s", shown(value), r.Accepted))
			continue
		}
		settings = next
	}
	if len(faults) == 0 {
		if settings.Node.Name == "" {
			settings.Node.Name = model.NodeName(settings.Listen.Peers.String())
		}
		for _, fault := range settings.conflicts() {
			report(fault.section, fault.key, fault.text)
		}
	}
	if len(faults) > 0 {
		return Settings{}, Invalid.New("%s", strings.Join(faults, "\n"))
	}
	return settings, nil
}

// WithNode returns the settings with another node.
func (s Settings) WithNode(node Node) Settings {
	s.Node = node
	return s
}

// WithListen returns the settings with other listeners.
func (s Settings) WithListen(listen Listen) Settings {
	s.Listen = listen
	return s
}

// WithPlatform returns the settings with another platform.
func (s Settings) WithPlatform(address netip.AddrPort) Settings {
	s.Platform.Address = address
	return s
}

// WithLimits returns the settings with other limits.
func (s Settings) WithLimits(limits Limits) Settings {
	s.Limits = limits
	return s
}

// fault is a fault of one setting.
type fault struct{ section, key, text string }

// conflicts returns the faults of settings that are valid one by one.
func (s Settings) conflicts() []fault {
	var faults []fault
	if s.Limits.DrainDeadline < s.Limits.RequestWithin {
		faults = append(faults, fault{
			"Limits", "DrainDeadline",
			fmt.Sprintf("value %q; accepted: RequestWithin (%s) or more", s.Limits.DrainDeadline, s.Limits.RequestWithin),
		})
	}
	if (s.TLS.CallerCertificate == "") != (s.TLS.CallerKey == "") {
		faults = append(faults, fault{"Tls", "CallerCertificate", "accepted: set together with CallerKey, or neither"})
	}
	peer := []bool{s.TLS.PeerCertificate != "", s.TLS.PeerKey != "", s.TLS.PeerAuthority != ""}
	if slices.Contains(peer, true) && slices.Contains(peer, false) {
		faults = append(faults, fault{"Tls", "PeerCertificate", "accepted: set together with PeerKey and PeerAuthority, or none"})
	}
	return faults
}

// shown hides the user part of a URL, which may hold a password.
func shown(value string) string {
	if at := strings.LastIndex(value, "@"); at >= 0 {
		return "[redacted]" + value[at:]
	}
	return value
}

// unknownNames returns a fault for each section and key without a row. Values
// of unknown keys are not shown: they may be secrets.
func unknownNames(file *ini.File) []fault {
	var faults []fault
	for _, section := range file.Sections() {
		name := section.Name()
		keys := keysOf(name)
		if name == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				faults = append(faults, fault{"(none)", key, "is outside of a section"})
			}
			continue
		}
		if keys == nil {
			faults = append(faults, fault{name, "(all)", "unknown section; accepted: " + strings.Join(sections(), ", ")})
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys, key) {
				faults = append(faults, fault{name, key, "unknown key; accepted: " + strings.Join(keys, ", ")})
			}
		}
	}
	return faults
}
