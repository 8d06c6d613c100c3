#!/bin/sh
# Builds the stand-ins of the review's scripts. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/harness
