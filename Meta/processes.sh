# Shell functions that start and end real processes on loopback. Sourced by cluster.sh and by the end-to-end
# tests. begin_run makes the run directory work, takes ports for the run, and ends every process when the script
# exits.

declare -gA process_of=()
# Below the ephemeral ports, so that no outgoing connection has them.
readonly first_port=20000 ports_per_run=250 concurrent_runs=40

# Takes a block of ports that no other run on this machine uses. The lock is held until this shell and all processes
# that it started have ended.
claim_ports() {
    local block
    for block in $(shuf --input-range="0-$((concurrent_runs - 1))"); do
        exec {port_lock}>> "${TMPDIR:-/tmp}/peridot-ports-$UID-$block"
        if flock --nonblock "$port_lock"; then
            next_port=$((first_port + block * ports_per_run))
            last_port=$((next_port + ports_per_run - 1))
            return
        fi
        exec {port_lock}>&-
    done
    echo "all $concurrent_runs blocks of ports are in use" >&2
    return 1
}

# Sets port to the first of COUNT consecutive ports on which nothing listens.
free_ports() { # COUNT
    local candidate
    port="$next_port"
    for ((candidate = port; candidate < port + $1; ++candidate)); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null; then port=$((candidate + 1)); fi
    done
    next_port=$((port + $1))
    [ "$next_port" -le $((last_port + 1)) ] && return
    echo "the run needs more than $ports_per_run ports" >&2
    return 1
}

free_port() {
    free_ports 1
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
    claim_ports
}
