#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -d build standin/review/*.java
