#!/bin/sh
# Builds the stand-ins of review/4 and later. They need nothing but the toolchain.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standin
