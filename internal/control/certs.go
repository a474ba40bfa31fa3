package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// certPollInterval is the interval at which the files are checked for changes.
const certPollInterval = 500 * time.Millisecond

// Certs holds the service's certificate, its key and the CA of its clients, read from files. The
// files are read again when they change, without closing a connection; if the new ones are
// unusable, the old ones stay in use. Connections need TLS 1.3 and a verified client certificate.
type Certs struct {
	CertFile, KeyFile, CAFile string

	log *slog.Logger

	mu          sync.Mutex
	pair        *tls.Certificate
	ca          *x509.CertPool
	fingerprint string // fileFingerprint when the files were last loaded
	lastError   string // last error that was logged; used by Watch only
}

// LoadCerts reads the files. It returns an error if they are unusable.
func LoadCerts(certFile, keyFile, caFile string, log *slog.Logger) (*Certs, error) {
	c := &Certs{CertFile: certFile, KeyFile: keyFile, CAFile: caFile, log: log}
	return c, c.reload(c.fileFingerprint(), time.Now())
}

// fileFingerprint returns a string that changes when one of the files changes.
func (c *Certs) fileFingerprint() string {
	var b strings.Builder
	for _, name := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		if info, err := os.Stat(name); err != nil {
			fmt.Fprintf(&b, "%s: %v;", name, err)
		} else {
			fmt.Fprintf(&b, "%s: %d %v;", name, info.Size(), info.ModTime().UnixNano())
		}
	}
	return b.String()
}

// reload reads the files and puts them into use. It returns an error and keeps the old ones if the
// new ones are unusable or the certificate is not valid at the time now.
func (c *Certs) reload(fingerprint string, now time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile) // fails if key and certificate do not match
	if err != nil {
		return fmt.Errorf("load certificate %s and key %s: %w", c.CertFile, c.KeyFile, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("parse certificate %s: %w", c.CertFile, err)
	}
	switch {
	case now.After(leaf.NotAfter):
		return fmt.Errorf("certificate %s expired at %v", c.CertFile, leaf.NotAfter)
	case now.Before(leaf.NotBefore):
		return fmt.Errorf("certificate %s is not valid before %v", c.CertFile, leaf.NotBefore)
	}
	authority, err := os.ReadFile(c.CAFile)
	if err != nil {
		return fmt.Errorf("read CA file: %w", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(authority) {
		return fmt.Errorf("CA file %s contains no certificate", c.CAFile)
	}
	pair.Leaf = leaf
	c.mu.Lock()
	c.pair, c.ca, c.fingerprint = &pair, ca, fingerprint
	c.mu.Unlock()
	return nil
}

// Watch reloads the files when they change, until ctx is done.
func (c *Certs) Watch(ctx context.Context) {
	ticker := time.NewTicker(certPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fingerprint := c.fileFingerprint()
		c.mu.Lock()
		unchanged := fingerprint == c.fingerprint
		c.mu.Unlock()
		if unchanged {
			continue
		}
		if err := c.reload(fingerprint, time.Now()); err != nil {
			if err.Error() != c.lastError { // an unfinished write is retried at each tick: log the error once
				c.lastError = err.Error()
				c.log.Error("new certificate rejected, the old one stays in use", "err", err)
			}
			continue
		}
		c.lastError = ""
		c.mu.Lock()
		leaf := c.pair.Leaf
		c.mu.Unlock()
		c.log.Info("new certificate in use", "serial", leaf.SerialNumber.String(), "until", leaf.NotAfter)
	}
}

// ServerConfig returns the TLS configuration of a listener with the given ALPN protocol. Each new
// connection uses the certificates that are current.
func (c *Certs) ServerConfig(protocol string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{*c.pair},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: c.ca,
		}, nil
	}
	return base
}

// DNSNames returns the DNS names of the peer's verified certificate, nil if there is none.
func DNSNames(state *tls.ConnectionState) []string {
	if state == nil || len(state.VerifiedChains) == 0 {
		return nil
	}
	return state.PeerCertificates[0].DNSNames
}

// MayReport returns a check whether the client of a request may report for a node name: its
// certificate must have the DNS name that results from pattern with the node's name in place of
// {name}. It returns an error if pattern lacks {name}.
func MayReport(pattern string) (func(*http.Request, string) bool, error) {
	if !strings.Contains(pattern, "{name}") {
		return nil, errors.New("the pattern lacks {name}")
	}
	return func(r *http.Request, name string) bool {
		want := strings.ReplaceAll(pattern, "{name}", name)
		for _, dnsName := range DNSNames(r.TLS) {
			if strings.EqualFold(dnsName, want) {
				return true
			}
		}
		return false
	}, nil
}

// MaySubscribe returns a check whether a proxy may subscribe: one of the DNS names of its
// certificate must be in the list allowed or be directly below the domain of a *.DOMAIN in it.
func MaySubscribe(allowed []string) func(*tls.ConnectionState) bool {
	return func(state *tls.ConnectionState) bool {
		for _, name := range DNSNames(state) {
			for _, allowedName := range allowed {
				_, domain, _ := strings.Cut(name, ".")
				if strings.EqualFold(name, allowedName) ||
					strings.HasPrefix(allowedName, "*.") && domain != "" && strings.EqualFold(domain, allowedName[2:]) {
					return true
				}
			}
		}
		return false
	}
}
