#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review-stand ] && [ -x target/caroblaned ] || exit 2
exec target/review-stand fence-after-drill review/10/record.txt
