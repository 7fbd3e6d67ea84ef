#!/bin/sh
# Runs a scenario that shows a further fault (see review/REPORT.md), as the cases' scripts do:
# review/further/run.sh lost-listing|sync-commit|blank-replica|bare-lf|large-version|cut-at-stop|lower-number
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/larkfall ] || { echo "build the project first"; exit 2; }
[ -x target/review/standins ] || sh review/build.sh || exit 2
export PROGRAM=target/release/larkfall RECORD=review/further/record.txt
exec target/review/standins "$1"
