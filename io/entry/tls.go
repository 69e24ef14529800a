package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"caroblane/io/certs"
	"caroblane/io/link"
	"caroblane/io/netio"
	"caroblane/io/setup"
)

// loadCallerCerts loads the certificate of the caller listener. It returns nil if
// none is configured.
func loadCallerCerts(settings setup.TLS, now func() time.Time) (*certs.CallerTLS, error) {
	if settings.CallerCertificate == "" {
		return nil, nil
	}
	callerCerts, err := certs.NewCallerTLS(settings.CallerCertificate, settings.CallerKey, now)
	if err != nil {
		return nil, Failed.Wrap(err, "load certificate of the caller listener")
	}
	return callerCerts, nil
}

// serveCallers serves the caller listener, using TLS if a certificate is
// configured.
func (n *Node) serveCallers(server *http.Server) error {
	if n.callerCerts == nil {
		return server.Serve(n.listeners.Callers)
	}
	server.TLSConfig = n.callerCerts.Config()
	return server.ServeTLS(n.listeners.Callers, "", "")
}

// loadPeerCerts loads the certificate, key and certificate authority for calls
// between nodes. It returns nil if no certificate is configured.
func loadPeerCerts(settings setup.TLS, now func() time.Time) (*certs.PeerTLS, error) {
	if settings.PeerCertificate == "" {
		return nil, nil
	}
	peerCerts, err := certs.NewPeerTLS(settings.PeerCertificate, settings.PeerKey, settings.PeerAuthority, now)
	if err != nil {
		return nil, Failed.Wrap(err, "load certificates of the peer listener")
	}
	return peerCerts, nil
}

// peerTransport returns the URL scheme and the HTTP transport for calls to peers.
func peerTransport(peerCerts *certs.PeerTLS) (string, *http.Transport) {
	transport := link.NewTransport(netio.System{})
	if peerCerts == nil {
		return "http", transport
	}
	transport.DialTLSContext = peerCerts.Dial
	return "https", transport
}

// servePeers serves the peer listener, using mutual TLS if certificates are
// configured.
func (n *Node) servePeers(server *http.Server) error {
	if n.peerCerts == nil {
		return server.Serve(n.listeners.Peers)
	}
	server.TLSConfig = n.peerCerts.Config()
	return server.ServeTLS(n.listeners.Peers, "", "")
}

// certificateFault returns why changed certificate files could not be loaded. It
// returns an empty string if there is no fault.
func (n *Node) certificateFault() string {
	var faults []string
	if n.callerCerts != nil {
		faults = append(faults, n.callerCerts.ReloadError())
	}
	if n.peerCerts != nil {
		faults = append(faults, n.peerCerts.ReloadError())
	}
	return strings.Join(slices.DeleteFunc(faults, func(s string) bool { return s == "" }), "; ")
}
