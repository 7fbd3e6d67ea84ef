#!/bin/sh
# Plays a scenario of the stand-ins: play.sh SCENARIO RECORD, from the root of the repository.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. Ends the boxes by their
# process ids if it is interrupted or the stand-ins end early.
[ -x target/release/larkfall ] || { echo "build the project first"; exit 2; }
[ -x target/review/standins ] || sh review/build.sh || exit 2
started=$(mktemp) || exit 2
export PROGRAM=target/release/larkfall RECORD="$2" STARTED="$started"
end_boxes() {
    while read -r id; do
        [ -r "/proc/$id/cmdline" ] || continue
        # An id may have been given to another process since.
        if tr '\0' ' ' < "/proc/$id/cmdline" 2> /dev/null | grep -q "^$PROGRAM serve "; then
            kill -KILL "$id"
        fi
    done < "$started"
    rm -f "$started"
}
interrupt() {
    kill -KILL "$standins" 2> /dev/null
    end_boxes
    exit 2
}
target/review/standins "$1" &
standins=$!
trap interrupt TERM INT HUP
wait "$standins"
code=$?
end_boxes
[ "$code" -le 2 ] || code=2
exit "$code"
