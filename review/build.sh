#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
