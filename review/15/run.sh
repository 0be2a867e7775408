#!/bin/sh
# Plays the case of claim.txt. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
rig=target/review-3/release/rig-3
if [ ! -x target/release/hibiscushinged ] || [ ! -x "$rig" ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first"
    exit 2
fi
exec "$rig" case budget "$here"
