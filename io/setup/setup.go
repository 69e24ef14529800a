// Package setup reads the settings file of the entry daemon. The file is in INI
// format with keys in Pascal case; unknown sections and keys are errors.
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

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("setup")

// The error types that Load and Parse return.
var (
	// Invalid lists all errors in a settings file, one per line.
	Invalid = Errors.NewType("invalid")
	// Unreadable means that the file could not be read.
	Unreadable = Errors.NewType("unreadable")
)

// Settings holds the settings of an entry daemon. Values are immutable.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Limits   Limits
	Log      Log
	TLS      TLS
}

// Node identifies the process.
type Node struct {
	// Name is unique within the region. It defaults to the address of the peer
	// listener.
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

// Platform holds the address of the platform's object API.
type Platform struct{ Address netip.AddrPort }

// Limits holds resource limits and timeouts of the process.
type Limits struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int
	// MaxOpen is the maximum number of open requests.
	MaxOpen int
	// MaxWaiting is the maximum number of requests that wait for a rate-limit
	// token of their client account.
	MaxWaiting int
	// AdmitWithin is the maximum time that a request waits for a token.
	AdmitWithin time.Duration
	// RequestWithin is the maximum duration of a request.
	RequestWithin time.Duration
	// DrainNotice is how long a graceful shutdown continues to accept requests
	// after the readiness check has started to fail, so that the load balancer
	// can redirect callers.
	DrainNotice time.Duration
	// DrainDeadline is how long a graceful shutdown waits for open requests. It
	// is at least RequestWithin, so that a shutdown does not abort requests.
	DrainDeadline time.Duration
	// QueueCapacity is the capacity of the event queue.
	QueueCapacity int
}

// Log configures logging.
type Log struct{ Level string }

// TLS holds the paths of the certificate files. Listeners without files use
// plain TCP.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	PeerAuthority     string
}

// Default returns the settings that an empty file gives.
func Default() Settings {
	settings, err := Parse("defaults", nil)
	if err != nil {
		panic(err) // Only a default that its own definition rejects can cause this.
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

// Parse parses the content of a settings file. The name is used in errors only.
// The error is Invalid and lists every problem with file, section, key, value
// and accepted range.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
	}, data)
	if err != nil {
		return Settings{}, Invalid.New("%s: not an INI file: %s", name, redactUserinfo(strings.TrimSpace(err.Error())))
	}
	var settings Settings
	var errs []string
	addError := func(section, key, text string) {
		errs = append(errs, fmt.Sprintf("%s: section %s, key %s: %s", name, section, key, text))
	}
	for _, unknown := range unknownSettings(file) {
		addError(unknown.section, unknown.key, unknown.text)
	}
	for _, d := range definitions() {
		value := d.Default
		if section, err := file.GetSection(d.Section); err == nil && section.HasKey(d.Key) {
			values := section.Key(d.Key).ValueWithShadows()
			if len(values) > 1 {
				addError(d.Section, d.Key, fmt.Sprintf("%d values; accepted: one", len(values)))
				continue
			}
			value = section.Key(d.Key).Value()
		}
		next, ok := d.apply(settings, value)
		if !ok {
			addError(d.Section, d.Key, fmt.Sprintf("value %q; accepted: %s", redactUserinfo(value), d.Accepted))
			continue
		}
		settings = next
	}
	if len(errs) == 0 {
		if settings.Node.Name == "" {
			settings.Node.Name = model.NodeName(settings.Listen.Peers.String())
		}
		for _, fault := range settings.conflicts() {
			addError(fault.section, fault.key, fault.text)
		}
	}
	if len(errs) > 0 {
		return Settings{}, Invalid.New("%s", strings.Join(errs, "\n"))
	}
	return settings, nil
}

// WithNode returns a copy of the settings with another node.
func (s Settings) WithNode(node Node) Settings {
	s.Node = node
	return s
}

// WithListen returns a copy of the settings with other listeners.
func (s Settings) WithListen(listen Listen) Settings {
	s.Listen = listen
	return s
}

// WithPlatform returns a copy of the settings with another platform address.
func (s Settings) WithPlatform(address netip.AddrPort) Settings {
	s.Platform.Address = address
	return s
}

// WithLimits returns a copy of the settings with other limits.
func (s Settings) WithLimits(limits Limits) Settings {
	s.Limits = limits
	return s
}

// settingError is an error in one setting.
type settingError struct{ section, key, text string }

// conflicts returns the errors in combinations of settings that are valid one by
// one.
func (s Settings) conflicts() []settingError {
	var errs []settingError
	if s.Limits.DrainDeadline < s.Limits.RequestWithin {
		errs = append(errs, settingError{
			"Limits", "DrainDeadline",
			fmt.Sprintf("value %q; accepted: RequestWithin (%s) or more", s.Limits.DrainDeadline, s.Limits.RequestWithin),
		})
	}
	if (s.TLS.CallerCertificate == "") != (s.TLS.CallerKey == "") {
		errs = append(errs, settingError{"Tls", "CallerCertificate", "accepted: set together with CallerKey, or neither"})
	}
	peer := []bool{s.TLS.PeerCertificate != "", s.TLS.PeerKey != "", s.TLS.PeerAuthority != ""}
	if slices.Contains(peer, true) && slices.Contains(peer, false) {
		errs = append(errs, settingError{"Tls", "PeerCertificate", "accepted: set together with PeerKey and PeerAuthority, or none"})
	}
	return errs
}

// redactUserinfo redacts the user part of a URL, which may contain a password.
func redactUserinfo(value string) string {
	if at := strings.LastIndex(value, "@"); at >= 0 {
		return "[redacted]" + value[at:]
	}
	return value
}

// unknownSettings returns an error for each section and key that is not defined.
// Values of unknown keys are not included: they may be secrets.
func unknownSettings(file *ini.File) []settingError {
	var errs []settingError
	for _, section := range file.Sections() {
		name := section.Name()
		keys := sectionKeys(name)
		if name == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				errs = append(errs, settingError{"(none)", key, "is outside a section"})
			}
			continue
		}
		if keys == nil {
			errs = append(errs, settingError{name, "(all)", "unknown section; accepted: " + strings.Join(sectionNames(), ", ")})
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys, key) {
				errs = append(errs, settingError{name, key, "unknown key; accepted: " + strings.Join(keys, ", ")})
			}
		}
	}
	return errs
}
