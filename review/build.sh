#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
