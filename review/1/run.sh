#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the disturbance. Needs target/release/larkfall; what was sent, answered and run goes into
# record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
exec sh review/play.sh forgotten-term review/1/record.txt
