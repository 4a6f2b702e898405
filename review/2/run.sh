#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build.sh.
exec "$(dirname "$0")/../run-case.sh" 2 HeldOrderCase
