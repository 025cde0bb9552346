//! Chores of the workspace; run as `cargo xtask`.

mod codegen;

use clap::Parser;

/// Chores of the workspace.
#[derive(Parser)]
enum Subcommand {
    /// Generates the Rust types of `crates/schema` from its JSON Schema files.
    Codegen(codegen::CodegenArgs),
}

fn main() -> anyhow::Result<()> {
    match Subcommand::parse() {
        Subcommand::Codegen(args) => codegen::run(&args),
    }
}
