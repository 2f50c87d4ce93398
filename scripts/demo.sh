#!/usr/bin/env bash
# Serves the radio example on loopback with separate processes, kills one balancer while streams
# run, and checks that no stream broke. Usage: demo.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
example=examples/radio
logs=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap stop_all EXIT

start() { # start NAME COMMAND...: runs a process in the background with a separate log
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  last_pid=$!
  pids+=("$last_pid")
}

wait_ready() { # wait_ready API_ADDRESS: waits until the balancer reports that it places flows
  for _ in $(seq 300); do
    curl -fsS "http://$1/healthz" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "balancer at $1 did not become ready" >&2
  cat "$logs"/*.log >&2
  return 1
}

start platform "$build/lugfork-standin" platform --listen 127.0.0.1:20000 \
  --configuration $example/configuration.json --machines $example/machines.json
for id in $(seq 1 19); do
  service=$((id <= 15 ? 1 : 2))
  start "backend-$id" "$build/lugfork-standin" backend --id "$id" --service $service \
    --listen 127.0.0.1:$((20100 + id)) --probe-address 127.0.0.1:$((20200 + id))
done
balancer_pids=()
for zone in charguia lac ariana; do
  start "balancer-$zone" "$build/lugforkd" --settings "$example/$zone-balancer.toml"
  balancer_pids+=("$last_pid")
done
start fabric "$build/lugfork-standin" fabric --listen 127.0.0.1:20001 --platform 127.0.0.1:20000
for port in 20031 20032 20033; do wait_ready 127.0.0.1:$port; done
sleep 1

echo "== one request to ingest"
"$build/lugforkctl" request --fabric 127.0.0.1:20001 --service 10.20.0.2:443 --service-id 2

echo "== 60 streams of listen-api and 20 uploads to ingest; the balancer in charguia is killed meanwhile"
start streams "$build/lugfork-standin" caller --fabric 127.0.0.1:20001 --service 10.20.0.1:443 \
  --service-id 1 --kind stream --calls 60 --answer-pieces 60 --answer-interval 100 --work 5
streams_pid=$last_pid
start uploads "$build/lugfork-standin" caller --fabric 127.0.0.1:20001 --service 10.20.0.2:443 \
  --service-id 2 --kind upload --calls 20 --spacing 150 --request-pieces 200 --work 20
uploads_pid=$last_pid
sleep 2
forwards() { curl -fsS "http://127.0.0.1:$1/metrics" | awk '/^lugfork_forwards_total/ {sum += $2} END {print sum + 0}'; }
through_charguia=$(forwards 20031)
through_lac=$(forwards 20032)
through_ariana=$(forwards 20033)
kill -KILL "${balancer_pids[0]}"
wait "${balancer_pids[0]}" 2>/dev/null || true # suppresses the shell's message about the kill
echo "datagrams forwarded so far: charguia $through_charguia, lac $through_lac, ariana $through_ariana; charguia's balancer is dead now"
status=0
wait "$streams_pid" || status=1
wait "$uploads_pid" || status=1
echo "== streams"
cat "$logs/streams.out"
echo "== uploads"
cat "$logs/uploads.out"
echo "== each backend's record of the balancers that forwarded a flow's datagrams"
probe_addresses=$(seq -f '127.0.0.1:%.0f' 20201 20219)
python3 scripts/flow_paths.py $example/machines.json $probe_addresses || status=1
if [ $status -eq 0 ]; then echo "demo passed: no flow broke"; else echo "demo FAILED" >&2; tail -n 5 "$logs"/*.log >&2; fi
exit $status
