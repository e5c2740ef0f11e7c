#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, to target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-2/ ./review/platform/fleet
