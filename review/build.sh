#!/bin/bash
# Builds the stand-ins of the scripts: one program without dependencies, target/review-rig.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-rig .
