#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network. Run it in the repository, after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/rig-2 -o "$PWD/target/rig2" .
