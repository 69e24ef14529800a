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

// Definition defines one setting.
type Definition struct {
	Section, Key string
	// Default is the value if the setting is absent.
	Default string
	// Unit is the unit of the value, or empty for names.
	Unit string
	// Accepted describes the accepted values.
	Accepted string
	// apply parses a value and returns the settings with it, or false if the
	// value is not accepted.
	apply func(Settings, string) (Settings, bool)
}

// Definitions returns the definitions of all settings in the order of the
// sample file.
func Definitions() []Definition { return definitions() }

const (
	durationUnit = "Go duration"
	nameSyntax   = "1 to 128 letters, digits and the characters . _ : - [ ]"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:\-\[\]]{1,128}$`)

func definitions() []Definition {
	return slices.Concat(
		inSection(
			"Node",
			nameSetting("Name", "", func(s *Settings) *model.NodeName { return &s.Node.Name }),
			nameSetting("Region", "local", func(s *Settings) *model.RegionName { return &s.Node.Region }),
			nameSetting("Zone", "local-a", func(s *Settings) *model.ZoneName { return &s.Node.Zone }),
		),
		inSection(
			"Listen",
			addressSetting("Callers", "127.0.0.1:8080", func(s *Settings) *netip.AddrPort { return &s.Listen.Callers }),
			addressSetting("Peers", "127.0.0.1:8081", func(s *Settings) *netip.AddrPort { return &s.Listen.Peers }),
			addressSetting("Admin", "127.0.0.1:8082", func(s *Settings) *netip.AddrPort { return &s.Listen.Admin }),
		),
		inSection(
			"Platform",
			addressSetting("Address", "127.0.0.1:8090", func(s *Settings) *netip.AddrPort { return &s.Platform.Address }),
		),
		inSection(
			"Limits",
			numberSetting("MaxBody", 8<<20, "bytes", 1<<10, 64<<20, func(s *Settings) *int { return &s.Limits.MaxBody }),
			numberSetting("MaxOpen", 8192, "requests", 1, 65536, func(s *Settings) *int { return &s.Limits.MaxOpen }),
			numberSetting("MaxWaiting", 4096, "requests", 0, 65536, func(s *Settings) *int { return &s.Limits.MaxWaiting }),
			durationSetting("AdmitWithin", 2*time.Second, 0, time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.AdmitWithin }),
			durationSetting("RequestWithin", 10*time.Minute, time.Second, time.Hour,
				func(s *Settings) *time.Duration { return &s.Limits.RequestWithin }),
			durationSetting("DrainNotice", 5*time.Second, 0, 5*time.Minute,
				func(s *Settings) *time.Duration { return &s.Limits.DrainNotice }),
			durationSetting("DrainDeadline", 11*time.Minute, time.Second, 2*time.Hour,
				func(s *Settings) *time.Duration { return &s.Limits.DrainDeadline }),
			numberSetting("QueueCapacity", 16384, "events", 64, 1<<20, func(s *Settings) *int { return &s.Limits.QueueCapacity }),
		),
		inSection(
			"Log",
			choiceSetting("Level", "info", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
		),
		inSection(
			"Tls",
			pathSetting("CallerCertificate", func(s *Settings) *string { return &s.TLS.CallerCertificate }),
			pathSetting("CallerKey", func(s *Settings) *string { return &s.TLS.CallerKey }),
			pathSetting("PeerCertificate", func(s *Settings) *string { return &s.TLS.PeerCertificate }),
			pathSetting("PeerKey", func(s *Settings) *string { return &s.TLS.PeerKey }),
			pathSetting("PeerAuthority", func(s *Settings) *string { return &s.TLS.PeerAuthority }),
		),
	)
}

// inSection sets the section of definitions.
func inSection(name string, definitions ...Definition) []Definition {
	for i := range definitions {
		definitions[i].Section = name
	}
	return definitions
}

// define returns the definition of a setting that is parsed by parse and stored
// in the field that field returns.
func define[T any](key, defaultValue, unit, accepted string, field func(*Settings) *T, parse func(string) (T, bool)) Definition {
	return Definition{
		Key: key, Default: defaultValue, Unit: unit, Accepted: accepted,
		apply: func(s Settings, text string) (Settings, bool) {
			value, ok := parse(text)
			*field(&s) = value
			return s, ok
		},
	}
}

func addressSetting(key, defaultValue string, field func(*Settings) *netip.AddrPort) Definition {
	return define(key, defaultValue, "", "IP address and port, such as 10.0.0.3:8080", field,
		func(text string) (netip.AddrPort, bool) {
			value, err := netip.ParseAddrPort(text)
			return value, err == nil
		})
}

func choiceSetting(key, defaultValue string, choices []string, field func(*Settings) *string) Definition {
	return define(key, defaultValue, "", fmt.Sprintf("one of %v", choices), field,
		func(text string) (string, bool) { return text, slices.Contains(choices, text) })
}

func nameSetting[T ~string](key, defaultValue string, field func(*Settings) *T) Definition {
	return define(key, defaultValue, "", nameSyntax, field,
		func(text string) (T, bool) { return T(text), text == defaultValue || namePattern.MatchString(text) })
}

func numberSetting(key string, defaultValue int, unit string, lowest, highest int, field func(*Settings) *int) Definition {
	return define(key, strconv.Itoa(defaultValue), unit, fmt.Sprintf("%d to %d %s", lowest, highest, unit), field,
		func(text string) (int, bool) {
			value, err := strconv.Atoi(text)
			return value, err == nil && inRange(value, lowest, highest)
		})
}

func pathSetting(key string, field func(*Settings) *string) Definition {
	return define(key, "", "", "path of a PEM file", field,
		func(text string) (string, bool) { return text, true })
}

func durationSetting(key string, defaultValue, lowest, highest time.Duration, field func(*Settings) *time.Duration) Definition {
	return define(key, defaultValue.String(), durationUnit, fmt.Sprintf("%s to %s", lowest, highest), field,
		func(text string) (time.Duration, bool) {
			value, err := time.ParseDuration(text)
			return value, err == nil && inRange(value, lowest, highest)
		})
}

func inRange[T cmp.Ordered](value, lowest, highest T) bool {
	return lowest <= value && value <= highest
}

// sectionKeys returns the keys of a section, or nil if the section does not
// exist.
func sectionKeys(section string) []string {
	var keys []string
	for _, d := range definitions() {
		if d.Section == section {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

func sectionNames() []string {
	var names []string
	for _, d := range definitions() {
		if !slices.Contains(names, d.Section) {
			names = append(names, d.Section)
		}
	}
	return names
}
