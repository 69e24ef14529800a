package conf

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/joomcode/errorx"

	"caroblane/core/model"
)

const (
	maxMembers  = 1024
	maxModels   = 64
	maxNameSize = 128
	maxPriority = 100
	maxRate     = 1e6
	maxSlots    = 65536
	maxTokens   = 1 << 20
	// shareSlack allows for rounding in sums such as 0.1 + 0.2 + 0.7.
	shareSlack = 1e-9
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("conf")

// Invalid is the type of errors about a field outside of its range.
var Invalid = Errors.NewType("invalid")

// Validate checks a configuration object. The error names the field, its value
// and the accepted range.
func Validate(name string, value any) error {
	if name == "" || len(name) > maxNameSize || strings.ContainsAny(name, "/\x00") {
		return fault("Name", name, fmt.Sprintf("1 to %d characters without a slash", maxNameSize))
	}
	switch v := value.(type) {
	case model.Key:
		return validateKey(v)
	case model.Model:
		return inRange("MaxTokens", v.MaxTokens, 1, maxTokens)
	case model.Roster:
		return validateRoster(v)
	case model.Route:
		return validateRoute(v)
	case model.Template:
		return validateTemplate(v)
	case model.Upstream:
		return validateUpstream(v)
	default:
		return Invalid.New("object %q has no known kind", name)
	}
}

func fault(field string, value any, accepted string) error {
	return Invalid.New("field %s has value %v; accepted: %s", field, value, accepted)
}

func inRange[N int | float64](field string, value, low, high N) error {
	if math.IsNaN(float64(value)) || value < low || value > high {
		return fault(field, value, fmt.Sprintf("%v to %v", low, high))
	}
	return nil
}

func first(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fault("Address", address, "IP number and port")
	}
	return nil
}

func validateKey(key model.Key) error {
	if key.Account == "" {
		return fault("Account", key.Account, "the name of a client account")
	}
	if key.Hash == (model.KeyHash{}) {
		return fault("Hash", "zero", "the SHA-256 of the key")
	}
	return nil
}

func validateRoster(roster model.Roster) error {
	if len(roster.Members) > maxMembers {
		return fault("Members", len(roster.Members), fmt.Sprintf("0 to %d entries", maxMembers))
	}
	if len(roster.Former) > maxMembers {
		return fault("Former", len(roster.Former), fmt.Sprintf("0 to %d entries", maxMembers))
	}
	names := map[model.NodeName]bool{}
	for _, member := range roster.Members {
		if member.Name == "" || names[member.Name] {
			return fault("Members.Name", member.Name, "a name that occurs once")
		}
		names[member.Name] = true
		if err := validateAddress(member.Address); err != nil {
			return err
		}
	}
	return nil
}

func validateRoute(route model.Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || strings.HasPrefix(route.Prefix, "/v1/") {
		return fault("Prefix", route.Prefix, "a path that starts with / and not with /v1/")
	}
	if len(route.Upstreams) == 0 {
		return fault("Upstreams", "empty", "the name of at least one upstream")
	}
	return nil
}

func validateTemplate(template model.Template) error {
	return first(
		inRange("Rate", template.Rate, 0, maxRate),
		inRange("Burst", template.Burst, 1, maxRate),
		inRange("CheapShare", template.CheapShare, 0, 1),
		inRange("Priority", template.Priority, 0, maxPriority),
		inRange("Models", len(template.Models), 0, maxModels),
		validateShares(template.RegionShares),
	)
}

// validateShares keeps the regions together within the account's limits.
func validateShares(shares map[model.RegionName]float64) error {
	sum := 0.0
	for region, share := range shares {
		if region == "" {
			return fault("RegionShares", "an empty name", "names of regions")
		}
		if err := inRange("RegionShares."+string(region), share, 0, 1); err != nil {
			return err
		}
		sum += share
	}
	if sum > 1+shareSlack {
		return fault("RegionShares", sum, "shares whose sum is at most 1")
	}
	return nil
}

func validateUpstream(upstream model.Upstream) error {
	return first(
		validateAddress(upstream.Address),
		inRange("Slots", upstream.Slots, 1, maxSlots),
		inRange("Models", len(upstream.Models), 0, maxModels),
	)
}
