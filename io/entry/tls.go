package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"caroblane/io/certs"
	"caroblane/io/link"
	"caroblane/io/setup"
)

// callerCertificate reads the certificate of the caller listener, or returns
// nil if the settings name none.
func callerCertificate(settings setup.TLS, now func() time.Time) (*certs.Callers, error) {
	if settings.CallerCertificate == "" {
		return nil, nil
	}
	callers, err := certs.NewCallers(settings.CallerCertificate, settings.CallerKey, now)
	if err != nil {
		return nil, Failed.Wrap(err, "caller listener")
	}
	return callers, nil
}

// serveCallers serves callers, with TLS if there is a certificate.
func (n *Node) serveCallers(server *http.Server) error {
	if n.certificate == nil {
		return server.Serve(n.listeners.Callers)
	}
	server.TLSConfig = n.certificate.Config()
	return server.ServeTLS(n.listeners.Callers, "", "")
}

// peerAuthority reads the files for calls between nodes, or returns nil if the
// settings name none.
func peerAuthority(settings setup.TLS, now func() time.Time) (*certs.Peers, error) {
	if settings.PeerCertificate == "" {
		return nil, nil
	}
	authority, err := certs.NewPeers(settings.PeerCertificate, settings.PeerKey, settings.PeerAuthority, now)
	if err != nil {
		return nil, Failed.Wrap(err, "peer listener")
	}
	return authority, nil
}

// peerTransport returns the scheme and the transport of calls to peers.
func peerTransport(authority *certs.Peers) (string, *http.Transport) {
	transport := link.NewTransport()
	if authority == nil {
		return "http", transport
	}
	transport.DialTLSContext = authority.Dial
	return "https", transport
}

// servePeers serves peers, with TLS if there is an authority.
func (n *Node) servePeers(server *http.Server) error {
	if n.authority == nil {
		return server.Serve(n.listeners.Peers)
	}
	server.TLSConfig = n.authority.Config()
	return server.ServeTLS(n.listeners.Peers, "", "")
}

// certificateFault tells why changed certificate files are not in use, or is
// empty.
func (n *Node) certificateFault() string {
	var faults []string
	if n.certificate != nil {
		faults = append(faults, n.certificate.Fault())
	}
	if n.authority != nil {
		faults = append(faults, n.authority.Fault())
	}
	return strings.Join(slices.DeleteFunc(faults, func(s string) bool { return s == "" }), "; ")
}
