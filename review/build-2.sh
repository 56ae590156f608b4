#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin-2
