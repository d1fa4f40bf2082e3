# Shell functions that start and end real processes on loopback. Sourced by cluster.sh and by the end-to-end
# tests. begin_run makes the run directory work and ends every process when the script exits.

declare -gA process_of=()
next_port=$((20000 + RANDOM % 8000))

# Ports come from a range below the ephemeral ports, so that no outgoing connection has them.
free_port() {
    while :; do
        next_port=$((next_port + 1))
        (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null || break
    done
    port="$next_port"
}

wait_for_port() {
    for _ in $(seq 400); do
        (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return
        sleep 0.05
    done
    echo "nothing listens on port $1" >&2
    return 1
}

wait_until() { # SECONDS COMMAND...
    local tries=$(($1 * 5))
    shift
    for _ in $(seq "$tries"); do
        "$@" > /dev/null 2>&1 && return
        sleep 0.2
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

start() { # NAME PROGRAM [ARGUMENT...]
    local name="$1"
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    process_of[$name]=$!
}

# Stops a process gracefully and checks its exit status.
stop() { # NAME
    kill -TERM "${process_of[$1]}"
    wait "${process_of[$1]}"
    unset "process_of[$1]"
}

kill_everything() {
    local process
    for process in "${process_of[@]}"; do
        kill -CONT "$process" 2>/dev/null || true
        kill -KILL "$process" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

# Ends every process and prints the last log lines when the script failed.
end_run() {
    local status=$?
    kill_everything
    if [ "$status" -ne 0 ]; then
        grep -hv request-finished "$work"/*.log | tail -n 60 || true
    fi
    rm -rf "$work"
}

begin_run() {
    work="$(mktemp -d)"
    trap end_run EXIT
}
