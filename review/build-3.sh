#!/bin/sh
# Builds the program that plays the scripted cases of the third review, with its stand-ins of
# the store, the upstreams and the clients.
set -eu
cd "$(dirname "$0")/.."
go build -o target/drive3 ./review/drive3
