#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
here=$PWD
root=$(cd ../.. && pwd) || exit 2
main=Case$(basename "$here")
if [ ! -f "$root/target/sandford.jar" ] || [ ! -f "$root/review/target/$main.class" ]; then
  echo "build the project and run review/build.sh first" >&2
  exit 2
fi
temp=$(mktemp -d) || exit 2
timeout -k 1 118 java -Xmx256m -cp "$root/review/target:$root/target/sandford.jar" "$main" "$root" "$here" "$temp" &
runner=$!
trap 'kill "$runner" 2>/dev/null' INT TERM
wait "$runner"
status=$?
# After a signal to this script, its processes still have to end before their folder is removed.
wait "$runner" 2>/dev/null
[ -n "$KEEP_LOGS" ] && cp "$temp"/*.log "$KEEP_LOGS"/ 2>/dev/null
rm -rf "$temp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
