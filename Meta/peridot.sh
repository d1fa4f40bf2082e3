#!/usr/bin/env bash
# Developer entry point: install, build, format, lint, test, demo, measure.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly build_directory="${PERIDOT_BUILD_DIRECTORY:-Build/release}"
# Compilation of one file can take over 1 GB, so the number of jobs is bounded by memory as well.
jobs="${PERIDOT_JOBS:-$(nproc)}"
# Clones of the repository in other folders share the cached objects.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

usage() {
    cat <<'USAGE'
Usage: Meta/peridot.sh COMMAND [ARGUMENT...]

  demo              install packages, build, run the whole system once, stop it
  test              build, then run every test under ctest
  build             configure and build
  install           install the packages of Meta/packages.txt
  format [--check]  format the sources, or check their format
  lint [FILE...]    run clang-tidy where the text has changed since a clean run; warnings are errors
  sanitize KIND [CTEST-ARGUMENT...]
                    build and run tests under: address,undefined | thread
  measure NAME      print key=value lines: flood | overhead | rollout | placement | config | store |
                    retries | request-slopes | fleet-slopes | scheduling | start-order
USAGE
}

sources() {
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h'
}

install_packages() {
    local missing=()
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done < Meta/packages.txt
    [ "${#missing[@]}" -eq 0 ] && return
    local elevate=()
    [ "$(id -u)" -eq 0 ] || elevate=(sudo)
    "${elevate[@]}" apt-get update -q
    DEBIAN_FRONTEND=noninteractive "${elevate[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
}

configure() {
    local directory="$1"
    shift
    cmake -S . -B "$directory" -G Ninja "$@" > /dev/null
}

build() {
    configure "$build_directory"
    cmake --build "$build_directory" -j "$jobs"
}

format() {
    if [ "${1:-}" = --check ]; then
        sources | xargs -r clang-format --dry-run --Werror
    else
        sources | xargs -r clang-format -i
    fi
}

lint() {
    configure "$build_directory"
    local files=("$@")
    [ "${#files[@]}" -gt 0 ] || mapfile -t files < <(sources | grep '\.cpp$' | grep -v EasyLogging.cpp)
    python3 Meta/lint.py -j "$jobs" "$build_directory" "${files[@]}"
}

# Names of the tests in KNOWN-RED.txt as a regular expression for ctest -E.
known_red() {
    local names
    names=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
    printf '^(%s)$' "${names:-none}"
}

run_tests() {
    build
    sed -n 's/^test: */known failure, passed over: /p' KNOWN-RED.txt
    ctest --test-dir "$build_directory" --output-on-failure -j "$jobs" -E "$(known_red)" "$@"
}

# Builds and runs the tests that match the remaining ctest arguments, and nothing else, because an
# instrumented build of every program takes too long.
sanitize() {
    local kind="$1"
    shift
    local directory="Build/${kind//,/-}"
    configure "$directory" -DPERIDOT_SANITIZE="$kind"
    local targets
    mapfile -t targets < <(ctest --test-dir "$directory" -N -E "$(known_red)" "$@" | sed -n 's/^ *Test *#[0-9]*: //p')
    [ "${#targets[@]}" -gt 0 ] || return 0
    cmake --build "$directory" -j "$jobs" --target "${targets[@]}"
    ctest --test-dir "$directory" --output-on-failure -j "$jobs" -E "$(known_red)" "$@"
}

demo() {
    install_packages
    build
    exec Meta/demo.sh "$build_directory"
}

measure() {
    build
    # This measurement needs real processes, which a script starts.
    [ "${1:-}" != overhead ] || exec Meta/measure-overhead.sh "${@:2}"
    exec "$build_directory/Utilities/Measure/peridot-measure" "$@"
}

command="${1:-}"
[ "$#" -gt 0 ] && shift
case "$command" in
    demo) demo ;;
    test) run_tests "$@" ;;
    build) build ;;
    install) install_packages ;;
    format) format "$@" ;;
    lint) lint "$@" ;;
    sanitize) sanitize "$@" ;;
    measure) measure "$@" ;;
    *) usage; exit 2 ;;
esac
