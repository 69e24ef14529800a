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
	maxMembers    = 1024
	maxModels     = 64
	maxNameLength = 128
	maxPriority   = 100
	maxRate       = 1e6
	maxSlots      = 65536
	maxTokens     = 1 << 20
	// shareTolerance allows for rounding errors in sums such as 0.1 + 0.2 + 0.7.
	shareTolerance = 1e-9
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("conf")

// Invalid is the type of errors about a field with an invalid value.
var Invalid = Errors.NewType("invalid")

// Validate checks a configuration object. The error contains the field, its value
// and the accepted values.
func Validate(name string, value any) error {
	if name == "" || len(name) > maxNameLength || strings.ContainsAny(name, "/\x00") {
		return invalidField("Name", name, fmt.Sprintf("1 to %d characters without a slash", maxNameLength))
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
		return Invalid.New("object %q has an unknown kind", name)
	}
}

func invalidField(field string, value any, accepted string) error {
	return Invalid.New("field %s has value %v; accepted: %s", field, value, accepted)
}

func inRange[N int | float64](field string, value, low, high N) error {
	if math.IsNaN(float64(value)) || value < low || value > high {
		return invalidField(field, value, fmt.Sprintf("%v to %v", low, high))
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalidField("Address", address, "IP address and port")
	}
	return nil
}

func validateKey(key model.Key) error {
	if key.Account == "" {
		return invalidField("Account", key.Account, "the name of a client account")
	}
	if key.Hash == (model.KeyHash{}) {
		return invalidField("Hash", "zero", "the SHA-256 of the key")
	}
	return nil
}

func validateRoster(roster model.Roster) error {
	if len(roster.Members) > maxMembers {
		return invalidField("Members", len(roster.Members), fmt.Sprintf("0 to %d entries", maxMembers))
	}
	if len(roster.Former) > maxMembers {
		return invalidField("Former", len(roster.Former), fmt.Sprintf("0 to %d entries", maxMembers))
	}
	names := map[model.NodeName]bool{}
	for _, member := range roster.Members {
		if member.Name == "" || names[member.Name] {
			return invalidField("Members.Name", member.Name, "a unique, non-empty name")
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
		return invalidField("Prefix", route.Prefix, "a path that starts with / but not with /v1/")
	}
	if len(route.Upstreams) == 0 {
		return invalidField("Upstreams", "empty", "the name of at least one upstream")
	}
	return nil
}

func validateTemplate(template model.Template) error {
	return firstError(
		inRange("Rate", template.Rate, 0, maxRate),
		inRange("Burst", template.Burst, 1, maxRate),
		inRange("CheapShare", template.CheapShare, 0, 1),
		inRange("Priority", template.Priority, 0, maxPriority),
		inRange("Models", len(template.Models), 0, maxModels),
		validateShares(template.RegionShares),
	)
}

// validateShares ensures that all regions together stay within the account's
// limits.
func validateShares(shares map[model.RegionName]float64) error {
	sum := 0.0
	for region, share := range shares {
		if region == "" {
			return invalidField("RegionShares", "an empty name", "non-empty names of regions")
		}
		if err := inRange("RegionShares."+string(region), share, 0, 1); err != nil {
			return err
		}
		sum += share
	}
	if sum > 1+shareTolerance {
		return invalidField("RegionShares", sum, "shares whose sum is at most 1")
	}
	return nil
}

func validateUpstream(upstream model.Upstream) error {
	return firstError(
		validateAddress(upstream.Address),
		inRange("Slots", upstream.Slots, 1, maxSlots),
		inRange("Models", len(upstream.Models), 0, maxModels),
	)
}
