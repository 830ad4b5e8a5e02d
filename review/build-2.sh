#!/bin/sh
# Builds every stand-in that a script of the cases starts, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/stand-2
