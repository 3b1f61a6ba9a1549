#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of deploy/service.toml and review/build-2.sh. KEEP=1 keeps the
# folder with the controllers' settings and logs.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/damsonport ] && [ -x target/review-2/6 ] || { echo "not built"; exit 2; }
timeout -s KILL 119 target/review-2/6 "$here"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
