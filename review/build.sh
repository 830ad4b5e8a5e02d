#!/bin/sh
# Builds the stand-ins of the scripts, as the last line of the usage in review/REPORT.md says.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
