#!/usr/bin/env bash
# Runs a case: run-case.sh N CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/.." || exit 2
if [[ ! -d target/review || ! -f target/run/plantainferry-platform.jar ]]; then
  echo "not built: run the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 5 110 java -cp target/review:target/run/plantainferry-platform.jar \
  "review.$2" "$PWD/review/$1/record.txt"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
