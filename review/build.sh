#!/bin/bash
# Builds the stand-ins of the cases into target/, beside the program that the build line of deploy/system.toml makes there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
