#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-3
cd standin-3
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-3/standin-3 .
