#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review, the project's own among them. Needs the
# build of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp target/run/plantainferry-platform.jar \
  platform/src/test/java/org/plantainferry/platform/standin/{FreePorts,StandInDocuments,StoreStandIn}.java \
  review/standin/*.java
