#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file
# has made target/jackdawbridge before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/standin
go build -tags review -o target/review-standin ./review/standin
