package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/certificate"
)

// writePair makes a self-signed certificate for 127.0.0.1 in two files.
func writePair(t *testing.T, directory, name string) (certificateFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	certificateFile, keyFile = filepath.Join(directory, name+".pem"), filepath.Join(directory, name+".key")
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	require.NoError(t, os.WriteFile(certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed}), 0o600))
	return certificateFile, keyFile
}

func security(t *testing.T, certificateFile, keyFile, authority string) *MutualTLS {
	pair, err := certificate.LoadPair(certificateFile, keyFile)
	require.NoError(t, err)
	authorities, err := certificate.LoadAuthorities(authority)
	require.NoError(t, err)
	return &MutualTLS{Pair: pair, Authorities: authorities}
}

func listen(t *testing.T, security *MutualTLS) *Transport {
	made, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler), security)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = made.Run(ctx) }()
	return made
}

// arrives reports whether a message gets from one node to the other.
func arrives(from, to *Transport) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 20 {
		from.Send(ctx, to.listener.Addr().String(), &apiv1.Envelope{From: "a", To: "b"})
		select {
		case <-to.Inbox():
			return true
		case <-time.After(50 * time.Millisecond):
		}
	}
	return false
}

func TestPlain(t *testing.T) {
	from, to := listen(t, nil), listen(t, nil)
	require.True(t, arrives(from, to))
	require.NotEmpty(t, from.SentBytes())
}

func TestMutualTLS(t *testing.T) {
	directory := t.TempDir()
	goodFile, goodKey := writePair(t, directory, "good")
	otherFile, otherKey := writePair(t, directory, "other")
	good := listen(t, security(t, goodFile, goodKey, goodFile))
	require.True(t, arrives(good, listen(t, security(t, goodFile, goodKey, goodFile))))
	require.False(t, arrives(listen(t, security(t, otherFile, otherKey, goodFile)), good), "a foreign certificate is refused")
	require.False(t, arrives(listen(t, nil), good), "plain connections are refused")
}

func TestKeysAreReloaded(t *testing.T) {
	directory := t.TempDir()
	oldFile, oldKey := writePair(t, directory, "node")
	pair, err := certificate.LoadPair(oldFile, oldKey)
	require.NoError(t, err)
	server := pair.ServerConfig(nil)
	before, err := server.GetCertificate(nil)
	require.NoError(t, err)
	time.Sleep(10 * time.Millisecond)
	writePair(t, directory, "node")
	require.Eventually(t, func() bool {
		after, err := server.GetCertificate(nil)
		return err == nil && string(after.Certificate[0]) != string(before.Certificate[0])
	}, 5*time.Second, 100*time.Millisecond)
}
