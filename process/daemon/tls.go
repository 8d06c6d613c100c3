package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"vetchtrail/connection/peer"
)

// newTLS loads the TLS files, if set, and creates the TLS configuration of the listener for peers
// and the client for peers. The certificate and its key are read again for each connection, so that
// they can be replaced on disk without a restart. The authority's certificate is read once.
func (d *Daemon) newTLS() error {
	clientConfig := peer.Config{Translate: d.cfg.Translations(), Connector: d.connector}
	if d.cfg.TLS.On() {
		pool, err := loadAuthority(d.cfg.TLS.Authority)
		if err != nil {
			return err
		}
		loadKeyPair := func() (*tls.Certificate, error) {
			c, err := tls.LoadX509KeyPair(d.cfg.TLS.Certificate, d.cfg.TLS.Key)
			if err != nil {
				return nil, errors.Wrap(err, "daemon.newTLS")
			}
			return &c, nil
		}
		if _, err := loadKeyPair(); err != nil {
			return err
		}
		d.tls = &tls.Config{
			MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return loadKeyPair() },
		}
		clientConfig.TLS = &tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: peer.ServerName,
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return loadKeyPair() },
		}
	}
	d.peers = peer.New(clientConfig)
	return nil
}

// loadAuthority reads the certificate of the authority that signs the certificates of hosts and
// operators. The file may contain several.
func loadAuthority(path string) (*x509.CertPool, error) {
	pemText, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "daemon.newTLS: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemText) {
		return nil, errors.Errorf("daemon.newTLS: no certificate in %s", path)
	}
	return pool, nil
}
