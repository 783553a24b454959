package toucantls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// clockSkew is subtracted from a certificate's start of validity, so that peers whose clocks are behind accept it.
const clockSkew = time.Minute

// Authority is a certificate authority in memory, for a process that runs both sides of a link, such as a test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate that expires after lifetime.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	template, err := newTemplate("toucanport authority", now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, errors.Wrap(err, "parse the authority's certificate")
}

// Issue returns a new key with a certificate for the instance and role that expires after lifetime.
func (a *Authority) Issue(instance string, role Role, now time.Time, lifetime time.Duration) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, errors.Wrap(err, "generate a key")
	}
	template, err := newTemplate(instance, now, lifetime)
	if err != nil {
		return Material{}, err
	}
	template.DNSNames = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Material{}, errors.Wrap(err, "sign a certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return Material{}, errors.Wrap(err, "parse a certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return Material{Certificate: certificate, Authority: pool}, nil
}

// PEM returns the authority's certificate in PEM form.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// PEM returns the certificate and its private key in PEM form.
func (m Material) PEM() (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(m.Certificate.PrivateKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode a key")
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: m.Certificate.Certificate[0]})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return certificate, key, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}
