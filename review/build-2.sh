#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, without a network. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --offline --locked
