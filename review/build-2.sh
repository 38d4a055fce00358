#!/bin/sh
# Builds what the cases 6 to 10 start beside the programs of the deploy file: one program with all stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/second
