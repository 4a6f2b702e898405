#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
