//! The certificate of this instance, read again when its files change.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use almondpass_schema::model;
use anyhow::Context;
use rustls::crypto;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use tokio::time;
use tracing::{info, warn};

use crate::secret_file;

/// Between two looks at the files.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Certificate and key in use.
pub struct CertificateStore {
    certificate_file: PathBuf,
    key_file: PathBuf,
    current: RwLock<LoadedCertificate>,
}

#[derive(Clone)]
struct LoadedCertificate {
    key: Arc<CertifiedKey>,
    contents: FileContents,
}

/// What stood in the files. Compared as a whole: two writes can bear the same time.
#[derive(Clone, PartialEq, Eq)]
struct FileContents {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl CertificateStore {
    /// Reads both files; refuses a key that others can read, or that is not the certificate's.
    pub fn load(settings: &model::TlsSettings) -> anyhow::Result<CertificateStore> {
        let certificate_file = PathBuf::from(&settings.certificate_file);
        let key_file = PathBuf::from(&settings.key_file);
        let loaded = FileContents::read(&certificate_file, &key_file)?.into_loaded()?;
        Ok(CertificateStore { certificate_file, key_file, current: RwLock::new(loaded) })
    }

    /// Reads the files again; true if a new certificate is in use.
    pub fn reload(&self) -> anyhow::Result<bool> {
        let contents = FileContents::read(&self.certificate_file, &self.key_file)?;
        if contents == self.current().contents {
            return Ok(false);
        }
        let loaded = contents.into_loaded()?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = loaded;
        Ok(true)
    }

    /// Looks at the files now and then. The old certificate stays where the new files are unusable,
    /// as they are for a moment while an operator writes one after the other.
    pub async fn watch(self: Arc<CertificateStore>) {
        let mut interval = time::interval(RELOAD_INTERVAL);
        loop {
            interval.tick().await;
            match self.reload() {
                Ok(true) => info!(step = "tls", "a new certificate is in use"),
                Ok(false) => {}
                Err(error) => warn!(step = "tls", "the old certificate stays in use: {error:#}"),
            }
        }
    }

    fn current(&self) -> LoadedCertificate {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl fmt::Debug for CertificateStore {
    /// Without the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("CertificateStore");
        shown.field("certificate_file", &self.certificate_file).finish_non_exhaustive()
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current().key)
    }
}

impl FileContents {
    fn read(certificate_file: &Path, key_file: &Path) -> anyhow::Result<FileContents> {
        secret_file::check(key_file)?;
        let read = |path: &Path| fs::read(path).with_context(|| format!("file {}", path.display()));
        Ok(FileContents { certificate: read(certificate_file)?, key: read(key_file)? })
    }

    fn into_loaded(self) -> anyhow::Result<LoadedCertificate> {
        let chain = CertificateDer::pem_slice_iter(&self.certificate)
            .collect::<Result<Vec<_>, _>>()
            .context("certificate file")?;
        let key = PrivateKeyDer::from_pem_slice(&self.key).context("key file")?;
        let key = CertifiedKey::from_der(chain, key, &crypto::ring::default_provider())
            .context("certificate and key together")?;
        Ok(LoadedCertificate { key: Arc::new(key), contents: self })
    }
}
