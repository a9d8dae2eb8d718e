#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# What was sent, answered and run is written to record.txt beside this script.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS names a folder for the logs.
cd "$(dirname "$0")" || exit 2
echo "TROUBLE=${TROUBLE:-1}" > record.txt || exit 2
timeout -k 2 118 python3 case.py record.txt
status=$?
[ "$status" -le 1 ] || status=2
echo "exit $status" >> record.txt
exit "$status"
