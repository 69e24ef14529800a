package effect

// RenewConnections closes the connections that wait for use, so that the next calls open
// new ones, and begins the calls that wait for changes anew.
type RenewConnections struct{}

func (RenewConnections) isEffect() {}
