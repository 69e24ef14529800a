package entry

import (
	"net/http"
	"time"

	"caroblane/io/certs"
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
