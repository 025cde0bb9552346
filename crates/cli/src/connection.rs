//! One HTTP exchange with a server, with what went wrong told apart by what the server may have done.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time;
use tokio_rustls::TlsConnector;

use crate::error;

/// Body of a request; files are streamed, never held whole.
pub(crate) type RequestBody = BoxBody<Bytes, std::io::Error>;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A server to speak to.
#[derive(Clone)]
pub(crate) struct ServerConnection {
    authority: String,
    tls: Option<TlsConnector>,
}

/// How an exchange failed.
#[derive(Debug)]
pub(crate) enum ExchangeFault {
    /// Nothing reached the server.
    NotSent(String),
    /// The server may have acted: the answer is missing.
    NoAnswer(String),
}

impl ServerConnection {
    /// Takes an address such as `10.0.0.7:7000`, `http://…` or `https://…`; the last needs `ca`.
    pub(crate) fn new(address: &str, ca: Option<&Path>) -> Result<ServerConnection, error::Error> {
        let bare = address.trim_end_matches('/');
        let (authority, secure) = match bare.split_once("://") {
            None => (bare, false),
            Some(("http", authority)) => (authority, false),
            Some(("https", authority)) => (authority, true),
            Some(_) => return Err(error::Error::Address { found: address.to_owned() }),
        };
        let port = authority.parse::<http::uri::Authority>().ok().and_then(|it| it.port_u16());
        if port.is_none() {
            return Err(error::Error::Address { found: address.to_owned() });
        }
        let tls = if secure { Some(connector(ca)?) } else { None };
        Ok(ServerConnection { authority: authority.to_owned(), tls })
    }

    /// Name of the server for messages and the `Host` header.
    pub(crate) fn authority(&self) -> &str {
        &self.authority
    }

    /// Sends `request` on a connection of its own and awaits the head of the answer.
    pub(crate) async fn exchange(
        &self,
        request: http::Request<RequestBody>,
        timeout: Duration,
    ) -> Result<http::Response<Incoming>, ExchangeFault> {
        let stream = match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.authority)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => return Err(ExchangeFault::NotSent(fault.to_string())),
            Err(_) => {
                let detail = format!("no connection within {CONNECT_TIMEOUT:?}");
                return Err(ExchangeFault::NotSent(detail));
            }
        };
        let Some(connector) = &self.tls else {
            return send(stream, request, timeout).await;
        };
        let stream = self.secure(connector, stream).await?;
        send(stream, request, timeout).await
    }

    async fn secure(
        &self,
        connector: &TlsConnector,
        stream: TcpStream,
    ) -> Result<impl AsyncRead + AsyncWrite + Send + Unpin + 'static, ExchangeFault> {
        let host = self.authority.rsplit_once(':').map_or("", |(host, _)| host);
        let host = host.trim_start_matches('[').trim_end_matches(']').to_owned();
        let name = ServerName::try_from(host)
            .map_err(|fault| ExchangeFault::NotSent(fault.to_string()))?;
        match time::timeout(CONNECT_TIMEOUT, connector.connect(name, stream)).await {
            Ok(secured) => secured.map_err(|fault| ExchangeFault::NotSent(fault.to_string())),
            Err(_) => {
                Err(ExchangeFault::NotSent(format!("no TLS session within {CONNECT_TIMEOUT:?}")))
            }
        }
    }
}

/// Past this point the server may have seen the request, so every fault means a missing answer.
async fn send<S>(
    stream: S,
    request: http::Request<RequestBody>,
    timeout: Duration,
) -> Result<http::Response<Incoming>, ExchangeFault>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|fault| ExchangeFault::NotSent(fault.to_string()))?;
    tokio::spawn(async move {
        // A broken connection shows in the exchange itself.
        let _ = driver.await;
    });
    match time::timeout(timeout, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(fault)) => Err(ExchangeFault::NoAnswer(fault.to_string())),
        Err(_) => Err(ExchangeFault::NoAnswer(format!("none within {timeout:?}"))),
    }
}

fn connector(ca: Option<&Path>) -> Result<TlsConnector, error::Error> {
    let path = ca.ok_or(error::Error::CertificatesMissing)?;
    let unusable = |detail: String| error::Error::Certificates { path: path.to_owned(), detail };
    let mut roots = rustls::RootCertStore::empty();
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|fault| unusable(fault.to_string()))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|fault| unusable(fault.to_string()))?;
        roots.add(certificate).map_err(|fault| unusable(fault.to_string()))?;
    }
    if roots.is_empty() {
        return Err(unusable("none".to_owned()));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|fault| unusable(fault.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(TlsConnector::from(Arc::new(config)))
}
