//! Settings files: what is accepted, and what a refusal says.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use almondpass_config::document;
use almondpass_daemon::{certificate, secret_file, settings};
use almondpass_schema::model;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

macro_rules! examples {
    ($($name:ident => $site:literal;)*) => {
        $(#[test]
        fn $name() {
            check_example($site);
        })*
    };
}

examples! {
    the_example_of_the_laboratories_is_valid => "laboratories";
    the_example_of_the_association_is_valid => "association";
}

fn check_example(site: &str) {
    let path = Path::new(EXAMPLES).join(format!("{site}.settings.yaml"));
    let settings = settings::load(&path).expect("valid settings");
    let path = Path::new(EXAMPLES).join(format!("{site}.config.yaml"));
    let text = fs::read_to_string(&path).expect("a configuration document");
    let document = document::check(site, &text).expect("a valid configuration");
    assert!(document.halls.iter().any(|it| it.data_center == settings.data_center));
}

/// A settings file in a directory of its own.
struct SettingsFile {
    directory: tempfile::TempDir,
}

impl SettingsFile {
    fn new(change: impl Fn(String) -> String) -> SettingsFile {
        let directory = tempfile::tempdir().expect("a directory");
        let path = Path::new(EXAMPLES).join("laboratories.settings.yaml");
        let text = fs::read_to_string(path).expect("the example");
        let text = text.replace("/etc/almondpass/", "");
        fs::write(directory.path().join("settings.yaml"), change(text)).expect("a file");
        SettingsFile { directory }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.path(name);
        fs::write(&path, text).expect("a file");
        fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("a mode");
        path
    }

    fn load(&self) -> Result<model::InstanceSettings, String> {
        let loaded = settings::load(&self.path("settings.yaml"));
        loaded.map_err(|error| {
            let directory = self.directory.path().display().to_string();
            format!("{error:#}").replace(&directory, "DIR")
        })
    }
}

macro_rules! refusals {
    ($($name:ident: $from:literal to $to:literal => $message:literal;)*) => {
        $(#[test]
        fn $name() {
            let file = SettingsFile::new(|text| {
                assert!(text.contains($from));
                text.replacen($from, $to, 1)
            });
            assert_eq!(file.load().expect_err("a refusal"), $message);
        })*
    };
}

refusals! {
    an_unknown_key_is_refused: "log: info" to "logs: info" =>
        "DIR/settings.yaml: 1 fault\n  logs: expected no such member, found one";
    a_span_without_a_unit_is_refused: "drain_wait: 5s" to "drain_wait: \"5\"" =>
        "DIR/settings.yaml: 1 fault\n  timing.drain_wait: expected a span of time such as `1m 30s`, found \"5\"";
    a_host_name_is_refused: "table: 10.20.0.2:9000" to "table: tables:9000" =>
        "DIR/settings.yaml: faulty addresses\n  platform.table: expected an IP address with a port, found \"tables:9000\"";
}

#[test]
fn files_are_taken_from_the_directory_of_the_settings() {
    let file = SettingsFile::new(|text| text);
    let settings = file.load().expect("settings");
    assert_eq!(PathBuf::from(settings.cluster_key_file), file.path("cluster.key"));
}

/// Symptom: a stranger's calls are taken for an instance's. Sequence: the key file is copied to an
/// instance with its default mode; anyone on it reads the key. Cause: nothing looked at the mode.
#[test]
fn a_key_file_open_to_others_is_refused() {
    let file = SettingsFile::new(|text| text);
    let path = file.write("cluster.key", "0123456789abcdef0123\n", 0o644);
    let refusal = secret_file::read_cluster_key(&path).expect_err("a refusal").to_string();
    let expected = "expected a file closed to others, such as mode 0600, found mode 0644";
    assert!(refusal.ends_with(expected), "{refusal}");
    let path = file.write("cluster.key", "0123456789abcdef0123\n", 0o600);
    assert_eq!(secret_file::read_cluster_key(&path).expect("a key"), "0123456789abcdef0123");
    let path = file.write("cluster.key", "short\n", 0o600);
    let refusal = secret_file::read_cluster_key(&path).expect_err("a refusal").to_string();
    assert!(refusal.ends_with("expected a key of at least 16 bytes, found 5"), "{refusal}");
}

/// Writes a new self-signed certificate and its key into the directory.
fn write_certificate(file: &SettingsFile) -> model::TlsSettings {
    let made = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("a pair");
    let certificate_file = file.write("tls.crt", &made.cert.pem(), 0o644);
    let key_file = file.write("tls.key", &made.signing_key.serialize_pem(), 0o600);
    model::TlsSettings {
        certificate_file: certificate_file.display().to_string(),
        key_file: key_file.display().to_string(),
    }
}

#[test]
fn a_changed_certificate_is_taken_up_and_an_unusable_one_is_not() {
    let file = SettingsFile::new(|text| text);
    let tls = write_certificate(&file);
    let store = certificate::CertificateStore::load(&tls).expect("a certificate");
    assert!(!store.reload().expect("nothing new"));
    write_certificate(&file);
    assert!(store.reload().expect("a new certificate"));
    file.write("tls.key", "no key", 0o600);
    assert!(store.reload().is_err());
    write_certificate(&file);
    file.write("tls.key", &fs::read_to_string(file.path("tls.key")).expect("a key"), 0o604);
    assert!(store.reload().is_err(), "a key that others can read is refused");
}
