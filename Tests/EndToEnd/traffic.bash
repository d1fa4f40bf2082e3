# Shell functions for scripts that judge by the requests that arrive at the backend servers. Sourced after
# Meta/cluster.sh.

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# Callers until end_traffic, in runs of 4 s, each checked against the run counts.
traffic() {
    local run=1
    while [ ! -e "$work/end-traffic" ]; do
        load --callers 8 --rate 300 --milliseconds 4000 --seed "$run" >> "$work/load.out" \
            || echo "exit status $?" >> "$work/load.failed"
        run=$((run + 1))
    done
}

start_traffic() {
    traffic &
    process_of[traffic]=$!
}

end_traffic() {
    touch "$work/end-traffic"
    wait "${process_of[traffic]}"
    unset 'process_of[traffic]'
    grep -v '^service=' "$work/load.out" | sort | uniq -c
    [ ! -e "$work/load.failed" ] || fail "peridot-load: $(cat "$work/load.failed")"
}

arrivals_at() { # BACKEND-INDEX
    Tests/EndToEnd/arrivals.py "${backend_controls[$1]}"
}

all_arrivals() {
    Tests/EndToEnd/arrivals.py "${backend_controls[@]}" | awk '{ sum += $1 } END { print sum }'
}

# Whether a backend server got nothing while the others got 300 requests. With 10 servers in use, a server
# gets a tenth of them. It takes about a second, so callers wait for it with few tries.
gets_nothing() { # BACKEND-INDEX
    local before total
    before=$(arrivals_at "$1")
    total=$(all_arrivals)
    wait_until 60 others_got "$((total + 300))" || return 1
    [ "$(arrivals_at "$1")" = "$before" ]
}

others_got() { # COUNT
    [ "$(all_arrivals)" -ge "$1" ]
}
