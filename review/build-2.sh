#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stand2
