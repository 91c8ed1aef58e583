#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start, with the project's own ones that they use.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3 ./review/harness-3
