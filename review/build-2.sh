#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 into target/, from the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
