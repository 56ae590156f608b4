// Package certificate loads keys and certificates from files and takes new ones
// without a restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is how often at most the files are looked at.
const checkInterval = time.Second

// Pair is a certificate and its key in two PEM files. It is safe for use by
// many goroutines.
type Pair struct {
	certificateFile, keyFile string
	mutex                    sync.Mutex
	loaded                   *tls.Certificate
	modTime                  time.Time
	lastCheck                time.Time
}

// LoadPair loads a pair; it fails when the files do not fit.
func LoadPair(certificateFile, keyFile string) (*Pair, error) {
	pair := &Pair{certificateFile: certificateFile, keyFile: keyFile}
	_, err := pair.current()
	return pair, err
}

// current returns the newest good certificate. Files that cannot be read while
// they are being replaced leave the last one in use.
func (pair *Pair) current() (*tls.Certificate, error) {
	pair.mutex.Lock()
	defer pair.mutex.Unlock()
	if pair.loaded != nil && time.Since(pair.lastCheck) < checkInterval {
		return pair.loaded, nil
	}
	pair.lastCheck = time.Now()
	information, err := os.Stat(pair.certificateFile)
	if err != nil {
		return pair.fallback(err)
	}
	if pair.loaded != nil && information.ModTime().Equal(pair.modTime) {
		return pair.loaded, nil
	}
	loaded, err := tls.LoadX509KeyPair(pair.certificateFile, pair.keyFile)
	if err != nil {
		return pair.fallback(err)
	}
	pair.loaded, pair.modTime = &loaded, information.ModTime()
	return pair.loaded, nil
}

func (pair *Pair) fallback(err error) (*tls.Certificate, error) {
	if pair.loaded != nil {
		return pair.loaded, nil
	}
	return nil, errors.Wrapf(err, "certificate %s", pair.certificateFile)
}

// ServerConfig is the TLS configuration of a listener. With authorities, clients must
// show a certificate that one of them has signed.
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

// ClientConfig is the TLS configuration of a connection to a host, with this pair as
// the client's.
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

// LoadAuthorities reads the PEM certificates of a file.
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
