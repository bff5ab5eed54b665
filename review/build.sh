#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml --target-dir review/rig/target
