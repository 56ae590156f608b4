#!/usr/bin/env bash
# Builds what the cases need into target/, which git ignores: the balancer with the build line
# of the deploy file, and the stand-ins of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/balancer
go build -o target/review-standin ./review/standin
