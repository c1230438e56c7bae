#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the daemon: consumers, members and
# the platform, in one program. The daemon itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness2
