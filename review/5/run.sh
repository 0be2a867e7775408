#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/release/blocked_service
daemon=target/release/hibiscushinged
for file in "$program" "$daemon"; do
  [ -x "$file" ] || { echo "$file is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
export TROUBLE=${TROUBLE:-1}
exec "$program" "$daemon" "$here/record.txt"
