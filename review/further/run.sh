#!/bin/sh
# Runs a scenario that shows a further fault (see review/REPORT.md), as the cases' scripts do:
# review/further/run.sh lost-listing|sync-commit|blank-replica|bare-lf|large-version|cut-at-stop|lower-number|shape-collision|endless-values|lease-ids
cd "$(dirname "$0")/../.." || exit 2
exec sh review/play.sh "$1" review/further/record.txt
