#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the programs of the deploy file are built before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin
