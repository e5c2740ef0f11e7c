#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./apps/dogwoodhatch-store ./review/platform/lab
