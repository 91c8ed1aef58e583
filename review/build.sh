#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
