package event

// ConnectionsSilent reports that a call on an open connection got no answer, although a
// later one on a new connection did. All connections that were open may have fallen silent.
type ConnectionsSilent struct{}

func (ConnectionsSilent) isEvent() {}
