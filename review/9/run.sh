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
group=""
# Ends what still runs: the case and its gateways are a process group of their own.
finish() {
    trap '' INT TERM HUP
    if [ -n "$group" ]; then
        kill -TERM "$group" 2>/dev/null
        for _ in {1..20}; do
            kill -0 -- "-$group" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL -- "-$group" 2>/dev/null
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
# The command of the deploy file starts in the root of the repository.
cd "$root" || exit 2
set -m
"$program" "$folder/record.txt" "$temporary" </dev/null &
group=$!
wait "$group"
code=$?
# Other codes mean that the case was ended by a signal or crashed.
case "$code" in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
