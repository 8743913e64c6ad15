// Package pki issues and parses the certificates of the system's processes. A
// certificate identifies one process and its role by a URI such as
// marjoramlug://entry/entry-1; the role determines which messages the process
// may send.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"regexp"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	uriScheme = "marjoramlug"
	// clockSkewAllowance is how long before its issue a certificate becomes valid,
	// for machines whose clocks lag.
	clockSkewAllowance = time.Hour
	serialBits         = 128

	certBlockType = "CERTIFICATE"
	keyBlockType  = "PRIVATE KEY"
)

var roleNames = map[message.Role]string{
	message.RoleEntry: "entry",
	message.RoleAgent: "agent",
}

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Cert string
	Key  string
}

// Subject is the process that a certificate identifies.
type Subject struct {
	Role message.Role
	Name string
}

// String returns the subject's URI in a certificate.
func (s Subject) String() string { return s.uri().String() }

func (s Subject) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: roleNames[s.Role], Path: "/" + s.Name}
}

// NewAuthority creates a certificate authority that is valid for the given time.
func NewAuthority(validity time.Duration) (KeyPair, error) {
	template, err := newTemplate("marjoramlug authority", validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	return sign(template, template, key, key)
}

// Issue creates a key and a certificate for a process, signed by an authority. It
// returns an error when the role or the name is invalid.
func Issue(authority KeyPair, s Subject, validity time.Duration) (KeyPair, error) {
	if roleNames[s.Role] == "" {
		return KeyPair{}, fmt.Errorf("unknown role %d", s.Role)
	}
	if !validName.MatchString(s.Name) {
		return KeyPair{}, fmt.Errorf("name %q: expected up to 64 letters, digits, dots, dashes and underscores", s.Name)
	}
	parent, parentKey, err := parseKeyPair(authority)
	if err != nil {
		return KeyPair{}, fmt.Errorf("authority: %w", err)
	}
	template, err := newTemplate(s.Name, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{s.uri()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	return sign(template, parent, key, parentKey)
}

// SubjectOf returns the process that a certificate identifies. It returns an error
// when the certificate has no valid process URI.
func SubjectOf(cert *x509.Certificate) (Subject, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		name := strings.TrimPrefix(uri.Path, "/")
		for role, roleName := range roleNames {
			if uri.Host == roleName && validName.MatchString(name) {
				return Subject{role, name}, nil
			}
		}
		return Subject{}, fmt.Errorf("certificate URI %s does not identify a process", uri)
	}
	return Subject{}, errors.New("certificate has no URI that identifies a process")
}

func newTemplate(commonName string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{Cert: encode(certBlockType, der), Key: encode(keyBlockType, keyDER)}, nil
}

func encode(block string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}))
}

func parseKeyPair(p KeyPair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode([]byte(p.Cert))
	keyBlock, _ := pem.Decode([]byte(p.Key))
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("certificate or key is not PEM-encoded")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, err
	}
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("private key is not an ECDSA key")
	}
	return cert, ecKey, nil
}
