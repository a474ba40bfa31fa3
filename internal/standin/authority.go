package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"time"
)

// Authority is a certificate authority for one test. It is not safe for concurrent use.
type Authority struct {
	t      *testing.T
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	PEM    []byte // its own certificate
	Serial int64  // serial number of the last certificate that it signed
}

// NewAuthority returns an authority with a new key, valid for an hour.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{t: t, Serial: 1}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.PEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// Sign returns a certificate for a DNS name and its key, both PEM encoded. The certificate is valid for clients
// and servers until the given time.
func (a *Authority) Sign(name string, until time.Time) (cert, key []byte) {
	a.t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.Serial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.Serial), DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	text, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: text})
}

// ClientTLS returns the TLS configuration of a client that trusts the authority and expects the server to have
// the name server. It includes a certificate for the client's name unless that is empty.
func (a *Authority) ClientTLS(name, server string) *tls.Config {
	a.t.Helper()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(a.PEM)
	c := &tls.Config{RootCAs: pool, ServerName: server}
	if name != "" {
		cert, key := a.Sign(name, time.Now().Add(time.Hour))
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			a.t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}
