#!/usr/bin/env bash
# Runs all tests. Those named in KNOWN-RED.txt ("test | cause | issue", three lines at most) run
# apart: they are printed, and their failure does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
excluded=()
if [ -s KNOWN-RED.txt ]; then
  [ "$(wc -l < KNOWN-RED.txt)" -le 3 ] || { echo "KNOWN-RED.txt has more than three lines" >&2; exit 1; }
  names=$(sed 's/ | .*//; s/[][().*+?^$\\{}|]/\\&/g' KNOWN-RED.txt | paste -sd '|')
  excluded=(-E "^($names)\$")
fi
ctest --preset release -j 4 "${excluded[@]}"
if [ -s KNOWN-RED.txt ]; then
  echo "known red, not counted:"
  cat KNOWN-RED.txt
  ctest --preset release -j 4 -R "^($names)\$" || echo "still red"
fi
