# Sourced by scripts that start the programs on loopback. Everything started is
# killed by its id when the script ends. Needs `set -euo pipefail`.

directory=$(mktemp -d)
processes=()
declare -A ids

finish() {
    for id in "${processes[@]}"; do
        kill -KILL "$id" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$directory"
}
trap finish EXIT

# start NAME COMMAND...: output to $directory/NAME.out and NAME.log, the process
# id to ids[NAME]
start() {
    local name=$1
    shift
    "$@" >"$directory/$name.out" 2>"$directory/$name.log" &
    processes+=("$!")
    ids[$name]=$!
}

# address NAME ROLE: waits up to 20 s for the line `event=listening`
address() {
    local found tries
    for ((tries = 0; tries < 400; tries++)); do
        found=$(sed -n "s/^event=listening role=$2 address=//p" \
            "$directory/$1.out" 2>/dev/null)
        if [ -n "$found" ]; then
            echo "$found"
            return
        fi
        kill -0 "${ids[$1]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$1 does not listen for $2; end of its log:" >&2
    tail -n 5 "$directory/$1.log" >&2
    return 1
}

random_key() {
    od -An -N32 -tx1 /dev/urandom | tr -d ' \n'
}

# wait_for_call CALLERS PATH: until an entry host answers a call, up to 20 s
wait_for_call() {
    local tries
    for ((tries = 0; tries < 20; tries++)); do
        if "$bin/foxtail-standin" request --to "$1" --path "$2" >/dev/null; then
            return
        fi
        sleep 1
    done
    echo "the entry host $1 answers no calls after 20 s" >&2
    return 1
}
