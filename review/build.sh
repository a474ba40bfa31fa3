#!/bin/bash
# Builds the programs of the cases, each with its stand-ins, into review/bin. It needs no network after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/[1-3]
