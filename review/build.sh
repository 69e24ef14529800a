#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-kit ./review/kit
