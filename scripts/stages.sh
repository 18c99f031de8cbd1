# Sourced by the scripts that make up the whole check. Notes for each stage the
# time it took and the number of processors it kept busy, in the file that
# FOXTAILLIFT_STAGES names.

run_stage() { # <name> <command> [argument ...]
    local name=$1 status=0 began
    shift
    if [ -z "${FOXTAILLIFT_STAGES:-}" ]; then
        "$@"
        return
    fi
    began=$EPOCHREALTIME
    # In this shell: a command substitution has no ended children.
    times >"$FOXTAILLIFT_STAGES.before"
    "$@" || status=$?
    times >"$FOXTAILLIFT_STAGES.after"
    # The second line of each file: user and system time of ended children.
    awk -v name="$name" -v began="$began" -v ended="$EPOCHREALTIME" \
        -v status="$status" '
        FNR == 2 {
            for (i = 1; i <= 2; ++i) {
                split($i, part, /[ms]/)
                used += (FILENAME ~ /after$/ ? 1 : -1) * (part[1] * 60 + part[2])
            }
        }
        END {
            took = ended - began
            printf "%-30s %8.1f %11.1f %7d\n", name, took,
                   used / (took > 0.1 ? took : 0.1), status
        }' "$FOXTAILLIFT_STAGES.before" "$FOXTAILLIFT_STAGES.after" \
        >>"$FOXTAILLIFT_STAGES"
    return "$status"
}

print_stages() {
    printf '%-30s %8s %11s %7s\n' stage seconds processors status
    cat "$FOXTAILLIFT_STAGES"
    # Last, where readers of a whole run look for it.
    [ ! -f "$FOXTAILLIFT_STAGES.verdict" ] || cat "$FOXTAILLIFT_STAGES.verdict"
}

note_stage() { # <name> <seconds>
    [ -z "${FOXTAILLIFT_STAGES:-}" ] \
        || printf '  %-28s %8.1f\n' "$1" "$2" >>"$FOXTAILLIFT_STAGES"
}
