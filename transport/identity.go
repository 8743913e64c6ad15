package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
)

// selfSignedLifetime is the validity of the certificate of a process without TLS
// settings.
const selfSignedLifetime = 10 * 365 * 24 * time.Hour

// identity supplies the TLS configurations of QUIC connections and the check of
// peers' Hello messages.
type identity interface {
	serverConfig() *tls.Config
	clientConfig() *tls.Config
	// verifier returns a function that checks the Hello received on a connection,
	// or nil when every Hello is accepted.
	verifier(conn *quic.Conn) func(message.Hello) error
	// reload replaces the credentials for new connections.
	reload(t settings.TLS) error
}

func newIdentity(t settings.TLS) (identity, error) {
	if t.Enabled() {
		return newMutualTLS(t)
	}
	cert, err := selfSigned()
	if err != nil {
		return nil, err
	}
	return unverifiedTLS{cert}, nil
}

// unverifiedTLS encrypts connections but does not authenticate peers.
type unverifiedTLS struct{ cert tls.Certificate }

func (u unverifiedTLS) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{u.cert},
		NextProtos:   []string{protocolName},
		MinVersion:   tls.VersionTLS13,
	}
}

func (u unverifiedTLS) clientConfig() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{protocolName},
		MinVersion:         tls.VersionTLS13,
	}
}

func (unverifiedTLS) verifier(*quic.Conn) func(message.Hello) error { return nil }

func (unverifiedTLS) reload(t settings.TLS) error {
	if t.Enabled() {
		return errors.New("tls: enabling TLS requires a restart of the process")
	}
	return nil
}

// selfSigned returns a new self-signed certificate, which is used for encryption
// only.
func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "marjoramlug"},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(selfSignedLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
