//! TLS for callers and operators.

use std::io;
use std::sync::Arc;

use almondpass_entry::acceptor;
use rustls::{ServerConfig, crypto};
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use crate::certificate;

/// Serves TLS where there is a certificate, and TCP as it is elsewhere.
#[derive(Clone)]
pub struct ListenerAcceptor {
    tls: Option<TlsAcceptor>,
}

impl ListenerAcceptor {
    /// An acceptor without TLS.
    pub fn plain() -> ListenerAcceptor {
        ListenerAcceptor { tls: None }
    }

    /// An acceptor that shows the certificate of `store`.
    pub fn with_certificate(
        store: Arc<certificate::CertificateStore>,
    ) -> anyhow::Result<ListenerAcceptor> {
        let provider = Arc::new(crypto::ring::default_provider());
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(store);
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(ListenerAcceptor { tls: Some(TlsAcceptor::from(Arc::new(config))) })
    }
}

impl acceptor::StreamAcceptor for ListenerAcceptor {
    type Stream = Either<TcpStream, TlsStream<TcpStream>>;

    async fn accept(&self, stream: TcpStream) -> io::Result<Self::Stream> {
        match &self.tls {
            None => Ok(Either::Left(stream)),
            Some(tls) => Ok(Either::Right(tls.accept(stream).await?)),
        }
    }
}
