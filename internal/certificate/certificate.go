// Package certificate loads TLS certificates and keys from files and reloads them
// without a restart when the files change.
//
// [LoadPair] loads a certificate and its key, [LoadAuthorities] the certificates to
// trust. [Pair.ServerConfig] and [Pair.ClientConfig] make TLS configurations that
// use the newest certificate for each handshake.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Pair is a certificate and its key, loaded from two PEM files and reloaded when the
// certificate file changes. It is safe for use by many goroutines.
type Pair struct {
	certificateFile, keyFile string
	mutex                    sync.Mutex
	loaded                   *tls.Certificate
	modTime                  time.Time
	lastCheck                time.Time
}

// LoadPair loads a certificate and its key. It fails if a file cannot be read or the
// key does not belong to the certificate.
func LoadPair(certificateFile, keyFile string) (*Pair, error) {
	pair := &Pair{certificateFile: certificateFile, keyFile: keyFile}
	_, err := pair.current()
	return pair, err
}

// current returns the newest valid certificate. If the files cannot be loaded, for
// instance while they are being replaced, the last one stays in use.
func (pair *Pair) current() (*tls.Certificate, error) {
	pair.mutex.Lock()
	defer pair.mutex.Unlock()
	if pair.loaded != nil && time.Since(pair.lastCheck) < checkInterval {
		return pair.loaded, nil
	}
	pair.lastCheck = time.Now()
	info, err := os.Stat(pair.certificateFile)
	if err != nil {
		return pair.fallback(err)
	}
	if pair.loaded != nil && info.ModTime().Equal(pair.modTime) {
		return pair.loaded, nil
	}
	loaded, err := tls.LoadX509KeyPair(pair.certificateFile, pair.keyFile)
	if err != nil {
		return pair.fallback(err)
	}
	pair.loaded, pair.modTime = &loaded, info.ModTime()
	return pair.loaded, nil
}

// fallback returns the last loaded certificate, or the error if none was loaded.
func (pair *Pair) fallback(err error) (*tls.Certificate, error) {
	if pair.loaded != nil {
		return pair.loaded, nil
	}
	return nil, errors.Wrapf(err, "certificate %s", pair.certificateFile)
}

// ServerConfig returns the TLS configuration of a listener. If authorities is not
// nil, clients must present a certificate that one of them has signed.
func (pair *Pair) ServerConfig(authorities *x509.CertPool) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.current() },
	}
	if authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = authorities
	}
	return config
}

// ClientConfig returns the TLS configuration of a connection to a host whose
// certificate one of the authorities must have signed. The pair is the client's
// certificate.
func (pair *Pair) ClientConfig(authorities *x509.CertPool, host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    authorities,
		ServerName: host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return pair.current()
		},
	}
}

// LoadAuthorities reads the PEM certificates of a file. It fails if there are none.
func LoadAuthorities(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errors.Newf("authorities %s: no certificate in PEM form", file)
	}
	return pool, nil
}
