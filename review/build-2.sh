#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
