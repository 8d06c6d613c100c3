#!/usr/bin/env bash
# Builds the program with the stand-ins and the checks of the scripted cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness-2
