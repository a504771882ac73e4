#!/bin/bash
# Builds the stand-ins and drivers of the cases into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/...
