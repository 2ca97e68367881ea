#!/usr/bin/env bash
# Builds the stand-ins of the third review with the JDK alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standin-3/*.java
