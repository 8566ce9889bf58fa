#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
