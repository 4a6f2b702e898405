#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 java -cp target/review:target/run/plantainferry-platform.jar \
  review.ManyTenantsCase "$PWD/review/5/record.txt"
