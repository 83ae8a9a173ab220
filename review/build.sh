#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-standin .
