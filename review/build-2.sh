#!/bin/sh
# Builds the stand-ins of the cases from 6 on. Run it from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/mesh2
