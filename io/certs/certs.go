// Package certs serves TLS from certificate files that are read again when
// they change. Open connections keep the certificate that they began with.
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

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("certs")

// Unusable is the type of errors about files that do not hold what they should.
var Unusable = Errors.NewType("unusable")

// protocols are those of package net/http.
var protocols = []string{"h2", "http/1.1"}

// Callers holds the certificate of the caller listener.
type Callers struct{ files *files[*tls.Config] }

// NewCallers reads a certificate and its key. The error is Unusable.
func NewCallers(certificate, key string, now func() time.Time) (*Callers, error) {
	files, err := newFiles([]string{certificate, key}, now, func() (*tls.Config, error) {
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
	return &Callers{files}, nil
}

// Config returns the configuration of a listener. Every handshake uses the
// certificate that is current then.
func (c *Callers) Config() *tls.Config {
	return listening(func() *tls.Config { return c.files.current() })
}

// Fault tells why the last change of the files is not in use, or is empty.
func (c *Callers) Fault() string { return c.files.fault() }

// peerConfigs are the configurations of both ends.
type peerConfigs struct{ server, client *tls.Config }

// Peers holds this node's certificate towards other nodes and the authority
// that signs theirs.
type Peers struct{ files *files[peerConfigs] }

// NewPeers reads a certificate, its key and the authority's certificates. The
// error is Unusable.
func NewPeers(certificate, key, authority string, now func() time.Time) (*Peers, error) {
	files, err := newFiles([]string{certificate, key, authority}, now, func() (peerConfigs, error) {
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
	return &Peers{files}, nil
}

// Config returns the configuration of a listener that accepts only peers with
// a certificate of the authority.
func (p *Peers) Config() *tls.Config {
	return listening(func() *tls.Config { return p.files.current().server })
}

// Dial connects to a peer and verifies that its certificate names the host of
// address. It fits DialTLSContext of http.Transport.
func (p *Peers) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: p.files.current().client}
	return dialer.DialContext(ctx, network, address)
}

// Fault tells why the last change of the files is not in use, or is empty.
func (p *Peers) Fault() string { return p.files.fault() }

// listening returns a configuration that asks current at each handshake.
func listening(current func() *tls.Config) *tls.Config {
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
		return pair, Unusable.New("certificate %s with key %s: %v", certificate, key, err)
	}
	return pair, nil
}

func readPool(authority string) (*x509.CertPool, error) {
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, Unusable.New("authority %s: %v", authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Unusable.New("authority %s holds no certificate", authority)
	}
	return pool, nil
}
