package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport/pki"
)

// credentials are a process's certificate and the authorities that it trusts.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// mutualTLS authenticates both sides of each connection by certificates. The
// credentials can be replaced at any time; open connections are not affected.
type mutualTLS struct {
	current atomic.Pointer[credentials]
}

func newMutualTLS(t settings.TLS) (*mutualTLS, error) {
	m := &mutualTLS{}
	return m, m.reload(t)
}

func (m *mutualTLS) reload(t settings.TLS) error {
	c, err := loadCredentials(t)
	if err != nil {
		return err
	}
	m.current.Store(c)
	return nil
}

func loadCredentials(t settings.TLS) (*credentials, error) {
	ca := inlineOrEnv(t.CA, t.CAEnv)
	cert, err := tls.X509KeyPair([]byte(inlineOrEnv(t.Cert, t.CertEnv)), []byte(inlineOrEnv(t.Key, t.KeyEnv)))
	if err != nil {
		return nil, fmt.Errorf("tls: certificate and key: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(ca)) {
		return nil, errors.New("tls: ca contains no valid certificate")
	}
	return &credentials{cert: cert, roots: roots}, nil
}

// inlineOrEnv returns inline or, when it is empty and env is not, the value of the
// environment variable env.
func inlineOrEnv(inline, env string) string {
	if inline != "" || env == "" {
		return inline
	}
	return os.Getenv(env)
}

func (m *mutualTLS) serverConfig() *tls.Config {
	return &tls.Config{
		NextProtos: []string{protocolName},
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &m.current.Load().cert, nil
		},
		VerifyConnection: m.verifyAs(x509.ExtKeyUsageClientAuth),
	}
}

// clientConfig disables Go's own verification, as it includes the host name:
// processes are addressed by IP address, and certificates name processes.
// VerifyConnection checks the certificate chain instead.
func (m *mutualTLS) clientConfig() *tls.Config {
	return &tls.Config{
		NextProtos:         []string{protocolName},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &m.current.Load().cert, nil
		},
		VerifyConnection: m.verifyAs(x509.ExtKeyUsageServerAuth),
	}
}

// verifyAs returns a function that verifies the peer's certificate chain against
// the current authorities, for the given key usage.
func (m *mutualTLS) verifyAs(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: m.current.Load().roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		return err
	}
}

// verifier returns a function that checks that role and name in the peer's Hello
// match its certificate.
func (m *mutualTLS) verifier(conn *quic.Conn) func(message.Hello) error {
	return func(hello message.Hello) error {
		subject, err := pki.SubjectOf(conn.ConnectionState().TLS.PeerCertificates[0])
		if err != nil {
			return err
		}
		if claimed := (pki.Subject{Role: hello.Role, Name: hello.Name}); claimed != subject {
			return fmt.Errorf("peer claims to be %s, but its certificate names %s", claimed, subject)
		}
		return nil
	}
}
