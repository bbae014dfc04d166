#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand-2 ./review/stand-2
