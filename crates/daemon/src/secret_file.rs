//! Files that hold keys.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::{Context, ensure};

/// Permission bits by which others than the owner and the group reach a file.
const OTHERS: u32 = 0o007;
/// Shortest cluster key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Refuses a key file that everyone on the machine can read or replace: whoever holds the key is
/// taken for one of the instances, and nothing else would show that it had leaked.
pub fn check(path: &Path) -> anyhow::Result<()> {
    let step = || format!("key file {}", path.display());
    let mode = fs::metadata(path).with_context(step)?.permissions().mode();
    ensure!(
        mode & OTHERS == 0,
        "key file {}: expected a file closed to others, such as mode 0600, found mode {:04o}",
        path.display(),
        mode & 0o7777,
    );
    Ok(())
}

/// Reads the key that all instances share, without the white space around it.
pub fn read_cluster_key(path: &Path) -> anyhow::Result<String> {
    check(path)?;
    let step = || format!("cluster key file {}", path.display());
    let key = fs::read_to_string(path).with_context(step)?;
    let key = key.trim();
    ensure!(
        MIN_KEY_BYTES <= key.len(),
        "cluster key file {}: expected a key of at least {MIN_KEY_BYTES} bytes, found {}",
        path.display(),
        key.len(),
    );
    Ok(key.to_owned())
}
