#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/limpetspand ] || go build -ldflags=-linkmode=external -o target/ ./cmd/limpetspand ./cmd/limpetspan
mkdir -p target/review
for n in review/[0-9]/main.go; do
  dir=$(dirname "$n")
  go build -o "target/review/case-$(basename "$dir")" "./$dir"
done
