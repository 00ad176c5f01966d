#!/usr/bin/env bash
# Builds and runs all tests: once as released, once under AddressSanitizer and UndefinedBehaviorSanitizer.
# Tests listed in KNOWN-RED.txt ("test: NAME" lines) are run and printed, and do not change the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."

export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
known=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
# A regular expression that matches exactly the given names.
exactly() {
    printf '%s\n' "$@" | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd'|' | sed 's/.*/^(&)$/'
}

# Prints `N passed, N failed` of a ctest log.
count() {
    local total failed
    total=$(sed -nE 's/.*tests? failed out of ([0-9]+).*/\1/p; s/.*tests passed, [0-9]+ tests failed out of ([0-9]+).*/\1/p' "$1" | tail -1)
    failed=$(sed -nE 's/.*, ([0-9]+) tests? failed out of [0-9]+.*/\1/p' "$1" | tail -1)
    echo "$((${total:-0} - ${failed:-0})) ${failed:-0}"
}

passed=0
failed=0
runTests() { # DIRECTORY
    local log=$1/test.log
    local skip=()
    [ "${#known[@]}" -eq 0 ] || skip=(-E "$(exactly "${known[@]}")")
    ctest --test-dir "$1" --output-on-failure -j "$(nproc)" "${skip[@]}" | tee "$log" || true
    read -r ok bad < <(count "$log")
    passed=$((passed + ok))
    failed=$((failed + bad))
    if [ "${#known[@]}" -gt 0 ]; then
        echo "Known failures of KNOWN-RED.txt (no part of the verdict):"
        ctest --test-dir "$1" -R "$(exactly "${known[@]}")" || true
    fi
}

cmake -S . -B build -G Ninja -DHIBISCUSBRIDGE_WERROR=ON >/dev/null
ninja -C build
runTests build
cmake -S . -B build-sanitize -G Ninja -DHIBISCUSBRIDGE_WERROR=ON -DHIBISCUSBRIDGE_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
ninja -C build-sanitize
runTests build-sanitize

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
