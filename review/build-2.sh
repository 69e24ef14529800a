#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The entry daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
