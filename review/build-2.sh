#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into bin/. Needs the build of the deploy file first, for the front end.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/stand2 ./review/stand2
