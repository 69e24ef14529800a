package model

import "slices"

// Evacuations are the availability zones whose upstreams get no requests, as the store
// had them at a version. Zero means that they are not known. They are immutable.
type Evacuations struct {
	Version Version
	// Zones are sorted.
	Zones []ZoneName
}

// Has reports whether a zone is evacuated.
func (e Evacuations) Has(zone ZoneName) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// WithZone returns the evacuations with another zone.
func (e Evacuations) WithZone(zone ZoneName) Evacuations {
	if i, found := slices.BinarySearch(e.Zones, zone); !found {
		e.Zones = slices.Insert(slices.Clone(e.Zones), i, zone)
	}
	return e
}
