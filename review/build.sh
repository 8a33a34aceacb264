#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
