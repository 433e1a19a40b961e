package testsite

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// CA is a certificate authority for tests.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// certificateValidity exceeds the duration of any test.
const certificateValidity = time.Hour

// NewCA returns a CA with a new key.
func NewCA(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate(1)
	template.Subject = pkix.Name{CommonName: name}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &CA{certificate: certificate, key: key}, err
}

func newTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-certificateValidity),
		NotAfter:     time.Now().Add(certificateValidity),
	}
}

// Pool returns a pool that holds the CA's certificate.
func (ca *CA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ca.certificate)
	return pool
}

// WriteTo writes the CA's certificate to a file.
func (ca *CA) WriteTo(file string) error {
	return os.WriteFile(file, encode("CERTIFICATE", ca.certificate.Raw), 0o600)
}

// Files names the files of a certificate, its key and its CA's certificate.
type Files struct{ Cert, Key, CA string }

// FilesIn returns the file names of a listener's certificate in a directory.
func FilesIn(dir, listener string) Files {
	at := func(suffix string) string { return filepath.Join(dir, listener+suffix) }
	return Files{Cert: at(".crt"), Key: at(".key"), CA: at("-ca.crt")}
}

// Issue writes a new certificate for the loopback address, its key and the CA's
// certificate to the files.
func (ca *CA) Issue(serial int64, f Files) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := newTemplate(serial)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.Key, encode("PRIVATE KEY", keyDER), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(f.Cert, encode("CERTIFICATE", der), 0o600); err != nil {
		return err
	}
	return ca.WriteTo(f.CA)
}

// ClientConfig returns a client configuration that presents the certificate in the files
// and trusts the CA.
func (ca *CA) ClientConfig(f Files) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: ca.Pool(), Certificates: []tls.Certificate{certificate}}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
