#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The daemon is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/rig3
