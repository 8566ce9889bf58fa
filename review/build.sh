#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
