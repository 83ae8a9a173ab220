#!/usr/bin/env bash
# Builds the stand-ins of the second review: the store, the engines and the clients of its
# scripts are one program. It has no dependencies and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-2
go build -o ../../target/review-standin-2 .
