//! The settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use almondpass_config::settings;
use almondpass_schema::model;
use anyhow::{Context, ensure};

/// Reads and checks a settings file; names of files in it are taken from its own directory.
pub fn load(path: &Path) -> anyhow::Result<model::InstanceSettings> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("settings file {name}"))?;
    let mut settings = settings::check(&name, &text)?;
    let directory = path.parent().unwrap_or(Path::new(""));
    settings.cluster_key_file = resolved(directory, &settings.cluster_key_file);
    if let Some(tls) = &mut settings.tls {
        tls.certificate_file = resolved(directory, &tls.certificate_file);
        tls.key_file = resolved(directory, &tls.key_file);
    }
    check_addresses(&name, &settings)?;
    Ok(settings)
}

/// Checks what the schema cannot say: that addresses are IP addresses with ports.
fn check_addresses(name: &str, settings: &model::InstanceSettings) -> anyhow::Result<()> {
    let addresses = [
        ("listen.callers", &settings.listen.callers),
        ("listen.operators", &settings.listen.operators),
        ("listen.peers", &settings.listen.peers),
        ("advertise", &settings.advertise),
        ("platform.table", &settings.platform.table),
        ("platform.objects", &settings.platform.objects),
        ("platform.instances", &settings.platform.instances),
    ];
    let faults = addresses
        .iter()
        .filter(|(_, address)| address.parse::<SocketAddr>().is_err())
        .map(|(path, address)| {
            format!("\n  {path}: expected an IP address with a port, found {address:?}")
        })
        .collect::<String>();
    ensure!(faults.is_empty(), "{name}: faulty addresses{faults}");
    Ok(())
}

fn resolved(directory: &Path, file: &str) -> String {
    let path: PathBuf = directory.join(file);
    path.display().to_string()
}
