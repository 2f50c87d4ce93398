#!/usr/bin/env bash
# scripts/run-tests.sh and .ci/run against fakes of ctest and make. Usage: run_tests_test.sh SOURCE_FOLDER
set -euo pipefail
source_folder=$1
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
mkdir -p "$tree/scripts" "$tree/.ci" "$tree/bin"
cp "$source_folder/scripts/run-tests.sh" "$tree/scripts/"
cp "$source_folder/.ci/run" "$tree/.ci/"
for check in check-platform-names check-document-names; do
  printf '#!/usr/bin/env bash\n' > "$tree/.ci/$check"
done

# Has the tests "one", "two (2)" and "three", of which $FAILING fails and "three" is skipped if
# $SKIPPING is set; its output contains a line of a test that looks like ctest's totals.
cat > "$tree/bin/ctest" << 'EOF'
#!/usr/bin/env bash
all=$'one\ntwo (2)\nthree'
chosen=$all
echo "$*" >> "$CALLS"
while [ $# -gt 0 ]; do
  case $1 in
    -N) nl <<< "$all" | sed 's/^ *\([0-9]*\)\t/  Test #\1: /'; exit ;;
    -E) chosen=$(grep -vE -- "$2" <<< "$all"); shift ;;
    -R) chosen=$(grep -E -- "$2" <<< "$all"); shift ;;
  esac
  shift
done
[ -z "${NO_TESTS:-}" ] || { echo "No tests were found!!!"; exit 0; }
echo "7% tests passed, 70 tests failed out of 77"
count=$(wc -l <<< "$chosen")
failed=$(grep -cxF -- "${FAILING:-none}" <<< "$chosen")
echo "50% tests passed, $failed tests failed out of $count"
if [ -n "${SKIPPING:-}" ] && grep -q three <<< "$chosen"; then
  printf 'The following tests did not run:\n\t  3 - three (Skipped)\n'
fi
[ "$failed" -eq 0 ]
EOF
# Fails if its target is $FAILING_TARGET.
cat > "$tree/bin/make" << 'EOF'
#!/usr/bin/env bash
[ "$1" != test ] || bash scripts/run-tests.sh || exit
echo "make says more"
[ "$1" != "${FAILING_TARGET:-}" ]
EOF
chmod +x "$tree/bin/ctest" "$tree/bin/make" "$tree"/.ci/check-*

# The script under test.
script=scripts/run-tests.sh

# Usage: run CASE STATUS LAST_LINE CALLS [VARIABLE=VALUE...]; known-red lines are read from stdin.
run() {
  local name=$1 status=$2 last_line=$3 calls=$4
  shift 4
  cat > "$tree/KNOWN-RED.txt"
  [ -s "$tree/KNOWN-RED.txt" ] || [ "$name" = "an empty file" ] || rm "$tree/KNOWN-RED.txt"
  : > "$tree/calls"
  local got=0
  env PATH="$tree/bin:$PATH" CALLS="$tree/calls" "$@" bash "$tree/$script" \
    > "$tree/output" 2>&1 || got=$?
  local got_line got_calls
  got_line=$(tail -n 1 "$tree/output")
  got_calls=$(grep -cv -- "-N" "$tree/calls" || true)
  if [ "$got" -ne "$status" ] || [ "$got_line" != "$last_line" ] || [ "$got_calls" -ne "$calls" ]; then
    echo "$name: exit code $got, runs of ctest $got_calls, last line: $got_line"
    cat "$tree/output"
    exit 1
  fi
}

run "no file" 0 "3 passed, 0 failed" 1 < /dev/null
[ "$(cat "$tree/build/test-totals.txt")" = "3 passed, 0 failed" ]
run "an empty file" 0 "3 passed, 0 failed" 1 < /dev/null
run "a failure" 1 "2 passed, 1 failed" 1 FAILING=one < /dev/null
run "a skipped test" 0 "2 passed, 0 failed, 1 skipped" 1 SKIPPING=1 < /dev/null
run "a known-red test that fails" 0 "2 passed, 1 failed" 2 "FAILING=two (2)" <<< "two (2) | cause | 1"
grep -qxF "two (2) | cause | 1" "$tree/output"
grep -qx "still red" "$tree/output"
run "a known-red test that passes" 0 "3 passed, 0 failed" 2 <<< "two (2) | cause | 1"
run "a failure beside a known-red test" 1 "2 passed, 1 failed" 2 FAILING=one <<< "three | cause | 1"
run "two known-red tests" 0 "2 passed, 1 failed" 2 FAILING=one <<< $'one | c | 1\ntwo (2) | c | 1'
run "a name of no test" 1 'KNOWN-RED.txt: no test is named "two"' 0 <<< $'one | c | 1\ntwo | c | 1'
[ ! -e "$tree/build/test-totals.txt" ]
run "four lines" 1 "KNOWN-RED.txt: more than 3 lines" 0 <<< $'one|c|1\none|c|1\none|c|1\none|c|1'
run "no test at all" 1 "no test has run" 1 NO_TESTS=1 < /dev/null
script=.ci/run
run "the whole run" 0 "3 passed, 0 failed" 1 < /dev/null
run "the whole run with a failure" 1 "2 passed, 1 failed" 1 FAILING=one < /dev/null
run "the whole run with a linter's find" 1 "3 passed, 0 failed" 1 FAILING_TARGET=lint < /dev/null
echo "all cases as they should be"
