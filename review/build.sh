#!/bin/sh
# Builds the stand-ins of the review's cases. The project's own programs are built by the line build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -o bin/review-standins ./review/standins
