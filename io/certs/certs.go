// Package certs provides TLS configurations from certificate files that are
// reloaded when they change. Open connections are not affected by a reload.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("certs")

// Unusable is the type of errors about missing or invalid certificate files.
var Unusable = Errors.NewType("unusable")

// protocols are the ALPN protocols that package net/http supports.
var protocols = []string{"h2", "http/1.1"}

// CallerTLS holds the TLS configuration of the caller listener.
type CallerTLS struct{ reloader *reloader[*tls.Config] }

// NewCallerTLS loads a certificate and its key. The error is Unusable.
func NewCallerTLS(certificate, key string, now func() time.Time) (*CallerTLS, error) {
	reloader, err := newReloader([]string{certificate, key}, now, func() (*tls.Config, error) {
		pair, err := readPair(certificate, key)
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			NextProtos:   protocols,
			Certificates: []tls.Certificate{pair},
		}, nil
	})
	if err != nil {
		return nil, err
	}
	return &CallerTLS{reloader}, nil
}

// Config returns the configuration for a listener. Every handshake uses the
// current certificate.
func (c *CallerTLS) Config() *tls.Config {
	return serverConfig(func() *tls.Config { return c.reloader.current() })
}

// ReloadError returns the error of the last reload, or an empty string if it
// succeeded.
func (c *CallerTLS) ReloadError() string { return c.reloader.lastError() }

// peerConfigs holds the configurations for both directions.
type peerConfigs struct{ server, client *tls.Config }

// PeerTLS holds the TLS configurations for connections between nodes: this node's
// certificate and the CA that signs the certificates of the other nodes.
type PeerTLS struct{ reloader *reloader[peerConfigs] }

// NewPeerTLS loads a certificate, its key and the CA certificates. The error is
// Unusable.
func NewPeerTLS(certificate, key, authority string, now func() time.Time) (*PeerTLS, error) {
	reloader, err := newReloader([]string{certificate, key, authority}, now, func() (peerConfigs, error) {
		pair, err := readPair(certificate, key)
		if err != nil {
			return peerConfigs{}, err
		}
		pool, err := readPool(authority)
		if err != nil {
			return peerConfigs{}, err
		}
		return peerConfigs{
			server: &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			},
			client: &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				RootCAs:      pool,
			},
		}, nil
	})
	if err != nil {
		return nil, err
	}
	return &PeerTLS{reloader}, nil
}

// Config returns the configuration for a listener that accepts only peers with a
// certificate signed by the CA.
func (p *PeerTLS) Config() *tls.Config {
	return serverConfig(func() *tls.Config { return p.reloader.current().server })
}

// Dial connects to a peer and verifies that its certificate is valid for the
// host in address. It can be used as DialTLSContext of http.Transport.
func (p *PeerTLS) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: p.reloader.current().client}
	return dialer.DialContext(ctx, network, address)
}

// ReloadError returns the error of the last reload, or an empty string if it
// succeeded.
func (p *PeerTLS) ReloadError() string { return p.reloader.lastError() }

// serverConfig returns a server configuration that calls current at each
// handshake.
func serverConfig(current func() *tls.Config) *tls.Config {
	first := current().Clone()
	first.Certificates = nil
	first.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &current().Certificates[0], nil
	}
	first.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return current(), nil }
	return first
}

func readPair(certificate, key string) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return pair, Unusable.New("certificate %s with key %s cannot be loaded: %v", certificate, key, err)
	}
	return pair, nil
}

func readPool(authority string) (*x509.CertPool, error) {
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, Unusable.New("authority %s cannot be read: %v", authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Unusable.New("authority %s contains no certificate", authority)
	}
	return pool, nil
}
