//! `almondpassd check`: whether an instance would start with a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::certificate;
use crate::secret_file;
use crate::settings;

/// Checks a settings file and the files it names.
#[derive(Clone, Debug, clap::Args)]
pub struct CheckArgs {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Checks, and says so where all is well.
pub fn run(args: &CheckArgs) -> anyhow::Result<ExitCode> {
    let settings = settings::load(&args.settings)?;
    secret_file::read_cluster_key(settings.cluster_key_file.as_ref())?;
    if let Some(tls) = &settings.tls {
        certificate::CertificateStore::load(tls)?;
    }
    println!("{}: valid", args.settings.display());
    Ok(ExitCode::SUCCESS)
}
