#!/bin/sh
# Makes the generated code again from the schema. Not needed to build.
set -eu
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
	--go-drpc_out=. --go-drpc_opt=paths=source_relative \
	vetchtrail.proto
