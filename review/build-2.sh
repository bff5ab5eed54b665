#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
cargo build --release --locked --offline
