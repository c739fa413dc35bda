#!/bin/sh
# Starts a small fleet as separate processes on loopback addresses: stand-ins of the store, the host
# list, two engines and a service, and three nodes. Shows a stream, a booking and a batch, and stops
# what it started. Usage: examples/local-fleet/run.sh [FOLDER]; the folder gets keys, settings, logs.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
bin=${SESAMEPIN:-$here/../../sesamepin-dist/target/sesamepin}
work=${1:-$(mktemp -d)}
mkdir -p "$work"
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait' EXIT INT TERM
start() { name=$1; shift; "$bin" "$@" >"$work/$name.log" 2>&1 & pids="$! $pids"; }

store=127.0.0.1:23790
start store stand-in store --address "$store"
start hosts stand-in host-list --address 127.0.0.1:23791 --lag-ms 500
start engine-1 stand-in engine --name modelo-carga --address 127.0.0.2:9001 --token-ms 10
start engine-2 stand-in engine --name modelo-carga --address 127.0.0.3:9001 --token-ms 20
start service stand-in service --name app-recuas --address 127.0.0.4:9001

rm -f "$work/operator.key"
"$bin" operator new ana --key "$work/operator.key" >"$work/operator.ini"
cp "$here/bundle.ini" "$work/bundle.ini"
key=$("$bin" key new agencia-1 --customer agencia-cusco --bundle "$work/bundle.ini")
"$bin" bundle check "$work/bundle.ini"
"$bin" bundle sign "$work/bundle.ini" --operator ana --key "$work/operator.key" --out "$work/bundle.signed"
"$bin" bundle roll "$work/bundle.signed" --store "$store"
for i in 1 2 3; do
  { sed "s/@N@/$i/g" "$here/node.ini"; echo "[operators]"; grep -v '^#' "$work/operator.ini"; } >"$work/node-$i.ini"
  start "node-$i" node --config "$work/node-$i.ini"
done
for i in 1 2 3; do
  until curl -sf "http://127.0.0.1$i:8081/ready" >/dev/null; do sleep 0.2; done
done
"$bin" status --store "$store"
auth="Authorization: Bearer $key"
echo "-- stream through entry-1"
curl -sN http://127.0.0.11:8080/v1/completions -H "$auth" \
  -d '{"model":"modelo-carga","prompt":"quote four mules","max_tokens":3,"stream":true}'
echo "-- booking through entry-2, sent again through entry-3"
curl -s http://127.0.0.12:8080/bookings -H "$auth" -H 'Idempotency-Key: b1' -d '{"mules":3}'; echo
sleep 0.3
curl -s http://127.0.0.13:8080/bookings -H "$auth" -H 'Idempotency-Key: b1' -d '{"mules":3}'; echo
echo "-- batch through entry-3"
for n in 1 2 3; do
  echo "{\"custom_id\":\"sheet-$n\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"modelo-carga\",\"prompt\":\"sheet $n\",\"max_tokens\":4}}"
done >"$work/sheets.jsonl"
file=$(curl -s http://127.0.0.13:8080/v1/files -H "$auth" -F purpose=batch -F "file=@$work/sheets.jsonl" | sed 's/.*"id":"\(file-[^"]*\)".*/\1/')
job=$(curl -s http://127.0.0.11:8080/v1/batches -H "$auth" -d "{\"input_file_id\":\"$file\",\"endpoint\":\"/v1/completions\"}" | sed 's/.*"id":"\(batch-[^"]*\)".*/\1/')
until curl -s "http://127.0.0.12:8080/v1/batches/$job" -H "$auth" | grep -q '"status":"completed"'; do sleep 0.2; done
curl -s "http://127.0.0.12:8080/v1/files/output-$job/content" -H "$auth"
echo "-- a wrong key"
curl -s http://127.0.0.11:8080/v1/models -H "Authorization: Bearer sp_wrong_key"; echo
"$bin" usage --store "$store"
