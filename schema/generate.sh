#!/bin/sh
# Regenerates the Go code from vetchtrail.proto. A build doesn't need it.
set -eu
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
	--go-drpc_out=. --go-drpc_opt=paths=source_relative \
	vetchtrail.proto
