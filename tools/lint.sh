#!/usr/bin/env bash
# Checks formatting and runs the linter over the project's own sources. With file names, checks only those.
# LINT_JOBS sets how many linters run at a time.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'platform/*.cpp' 'platform/*.hpp' 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp' 'bench/*.cpp' 'bench/*.hpp')
fi
clang-format --dry-run --Werror "${files[@]}"

[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja -DHIBISCUSBRIDGE_WERROR=ON >/dev/null
sources=()
for it in "${files[@]}"; do
    case "$it" in *.cpp) sources+=("$it") ;; esac
done
[ "${#sources[@]}" -eq 0 ] && exit 0
printf '%s\n' "${sources[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#files[@]} files clean"
