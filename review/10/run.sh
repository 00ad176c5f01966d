#!/usr/bin/env bash
# Runs the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/hibiscusbridge
binaries=$PWD/build-review-2
[ -x "$program" ] && [ -x "$binaries/case-10" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$binaries/case-10" "$program" "$binaries" "$folder" review/10/record.txt >"$folder/log" 2>&1
code=$?
tail -n 1 review/10/record.txt
[ -n "${KEEP:-}" ] && cp -r "$folder" "$KEEP"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
