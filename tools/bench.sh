#!/usr/bin/env bash
# Plays the regression set on the users' bench and compares it with the last figures in the journal.
# Usage: tools/bench.sh KIT_FOLDER [--hunts]     KIT_FOLDER: the folder with SYSTEM.md; JOBS sets the days played at a time.
# Exit code 1 when a rule was broken, a gate failed, or a site's score fell by more than 0.03.
set -euo pipefail
[ "$#" -ge 1 ] && [ -f "$1/SYSTEM.md" ] || { sed -n '2,4s/^# //p' "$0" >&2; exit 2; }
kit=$(cd "$1" && pwd)
hunts=${2:-}
cd "$(dirname "$0")/.."

bench=$(ls -d "$kit"/more/*/bin/fleetbench 2>/dev/null | sort | tail -1)
bench=${bench:-$kit/bin/fleetbench}
jobs=${JOBS:-$(($(nproc) / 2))}
full=(further/brazos-coop further-grown/brazos-coop-grown large/cedarpost-pinata-large)
quick=(sites/cedarpost-pinata sites/kmpro-proofs grown/cedarpost-pinata-grown grown/kmpro-proofs-grown)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
bad=0

# Prints one line for a site: score, change against the last one in the journal, gate.
score() { # SITE OPTION...
    local site=$1
    shift
    "$bench" score "$kit/$site.toml" "$@" --jobs "$jobs" --why "regression set" >"$log" 2>&1 || true
    local figures change gate
    figures=$(sed -nE 's/^(score|quick estimate) on the standard days of .*: (-?[0-9.]+)(, ([+-][0-9.]+) against.*)?$/\2 \4/p' "$log" | head -1)
    change=$(echo "$figures" | cut -d' ' -f2)
    gate=$(grep -oE '^GATE (passed|failed.*)|^no gate.*' "$log" | head -1 || true)
    printf '%-42s score %-7s change %-7s %s\n' "$site" "$(echo "$figures" | cut -d' ' -f1)" "${change:-none}" "${gate:-no result}"
    if [ -z "$figures" ] || grep -qE 'BROKEN' "$log" || [[ "$gate" == *failed* ]] || awk -v c="${change:-0}" 'BEGIN { exit !(c < -0.03) }'; then
        bad=1
    fi
}

hunt() { # SITE DAYS
    "$bench" hunt "$kit/$1.toml" --days "$2" --jobs "$jobs" --why "regression set" >"$log" 2>&1 || true
    local line
    line=$(grep -E '^[0-9]+ days on .* with a rule broken' "$log" | head -1 || true)
    printf '%-42s %s\n' "$1" "${line:-no result}"
    [[ "$line" == *", 0 with a rule broken"* ]] || bad=1
}

for it in "${full[@]}"; do score "$it"; done
for it in "${quick[@]}"; do score "$it" --quick; done
if [ "$hunts" = --hunts ]; then
    hunt further/brazos-coop 40
    hunt further-grown/brazos-coop-grown 8
    hunt large/cedarpost-pinata-large 8
fi
exit "$bad"
