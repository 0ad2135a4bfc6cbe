#!/usr/bin/env bash
# Builds the stand-ins of the second review, in the same folder as the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/standin2
