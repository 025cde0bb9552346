//! The command line.

use almondpass_schema::time;

use crate::subcommand;

/// What `--help` ends with.
const EXIT_STATUS_HELP: &str = "\
Exit status:
  0  done
  1  something on this machine failed
  2  the command line, a setting or a local file could not be used
  3  refused: it did not run, or nothing was changed
  4  it ran and failed, or was cancelled
  5  unknown: nobody can tell whether it ran
  6  no server could be reached";

/// Columns of `--help`. Fixed, since the width of whatever terminal a test runs in would otherwise
/// decide its verdict.
const HELP_WIDTH: usize = 100;

/// Submits work to almondpass and operates it.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "almondpass", version, after_help = EXIT_STATUS_HELP, term_width = HELP_WIDTH)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
    /// What to do.
    #[command(subcommand)]
    pub(crate) subcommand: subcommand::Subcommand,
}

/// Options of every subcommand.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct CommonArgs {
    /// Prints JSON for programs instead of a table.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Waits at most this long for each answer.
    #[arg(long, global = true, value_name = "SPAN", default_value = "30s")]
    pub(crate) timeout: time::TimeSpan,
    /// Pause before a call is repeated whose answer was lost; it doubles each time.
    #[arg(long, global = true, value_name = "SPAN", default_value = "100ms")]
    pub(crate) retry_pause: time::TimeSpan,
    /// PEM file with the certificates to trust for `https://` servers.
    #[arg(long, global = true, env = "ALMONDPASS_CA", hide_env_values = true, value_name = "FILE")]
    pub(crate) ca: Option<std::path::PathBuf>,
}

/// Where and as whom a caller speaks.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct CallerArgs {
    /// Callers' address of an instance or its balancer, such as `10.0.0.7:7000`.
    #[arg(long, env = "ALMONDPASS_SERVER", hide_env_values = true, value_name = "ADDRESS")]
    pub(crate) server: String,
    /// Key of the client account.
    #[arg(long, env = "ALMONDPASS_KEY", hide_env_values = true, value_name = "KEY")]
    pub(crate) key: String,
}

/// Where and as whom an operator speaks.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct OperatorArgs {
    /// Operators' address of an instance, such as `10.0.0.7:7001`.
    #[arg(long, env = "ALMONDPASS_CONSOLE", hide_env_values = true, value_name = "ADDRESS")]
    pub(crate) console: String,
    /// Sign-in name of the operator.
    #[arg(long, env = "ALMONDPASS_OPERATOR", hide_env_values = true, value_name = "NAME")]
    pub(crate) operator: String,
    /// Password of the operator; the environment keeps it out of the process list.
    #[arg(long, env = "ALMONDPASS_PASSWORD", hide_env_values = true, value_name = "PASSWORD")]
    pub(crate) password: String,
}
