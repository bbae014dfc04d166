#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The scheduler is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
