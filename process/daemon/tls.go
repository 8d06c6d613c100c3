package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"vetchtrail/connection/peer"
)

// newTLS reads the keys, if set, and makes the peers' client. A key that is
// replaced on disk is taken at the next connection, without a stop.
func (d *Daemon) newTLS() error {
	cfg := peer.Config{Translate: d.set.Translations()}
	if d.set.TLS.On() {
		pool, err := authority(d.set.TLS.Authority)
		if err != nil {
			return err
		}
		load := func() (*tls.Certificate, error) {
			c, err := tls.LoadX509KeyPair(d.set.TLS.Certificate, d.set.TLS.Key)
			if err != nil {
				return nil, errors.Wrap(err, "daemon.newTLS")
			}
			return &c, nil
		}
		if _, err := load(); err != nil {
			return err
		}
		d.tls = &tls.Config{
			MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		}
		cfg.TLS = &tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: peer.ServerName,
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
		}
	}
	d.peers = peer.New(cfg)
	return nil
}

func authority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "daemon.newTLS: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("daemon.newTLS: %s holds no certificate", path)
	}
	return pool, nil
}
