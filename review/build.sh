#!/usr/bin/env bash
# Builds the stand-ins of the cases, without cargo and without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/standin.rs -o target/review/standin
