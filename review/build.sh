#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It runs after the build of the deploy file and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./review/shard
