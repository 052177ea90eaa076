#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler alone; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases-2 review/standins-2/main.rs
