#!/usr/bin/env bash
# Runs the case against the build of the deploy file; see claim.txt. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-2/release/dropped_reward_route"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/hibiscushinged" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
# The command of the deploy file starts in the root of the repository.
cd "$root" || exit 2
"$program" "$folder/record.txt" "$temporary"
