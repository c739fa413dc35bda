#!/bin/sh
# Harm of batch work to online requests, and added latency of a node, in one run: direct to an engine,
# through a node without and with a batch backlog. Usage: benchmarks/online-batch.sh [throughput|latency]
here=$(cd "$(dirname "$0")" && pwd)
BIN=${SESAMEPIN:-$here/../sesamepin-dist/target/sesamepin}
WORK=$(mktemp -d); NODES=${NODES:-4}; ENGINES=${ENGINES:-6}; SLOTS=8; TOKEN_MS=20; PREFERENCE=${1:-throughput}
. "$here/fleet.sh"
RATE=${RATE:-40}; SECONDS_LONG=${SECONDS_LONG:-15}
echo "direct to one engine, 5/s:"
"$BIN" load --callers 127.0.1.1:9001 --model m --rate 5 --seconds $SECONDS_LONG --tokens 8
echo "through one node, 5/s, no contention:"
"$BIN" load --callers 127.0.2.1:8080 --key "$KEY" --model m --rate 5 --seconds $SECONDS_LONG --tokens 8
echo "through $NODES nodes, $RATE/s, without batch:"
"$BIN" load --callers "$CALLERS" --key "$KEY" --model m --rate $RATE --seconds $SECONDS_LONG --tokens 8
seq 1 20000 | sed 's/.*/{"custom_id":"i&","method":"POST","url":"\/v1\/completions","body":{"model":"m","prompt":"sheet &","max_tokens":40}}/' >"$WORK/items.jsonl"
file=$(curl -s "http://127.0.2.1:8080/v1/files" -H "Authorization: Bearer $KEY" --data-binary "@$WORK/items.jsonl" | sed 's/.*"id":"\(file-[^"]*\)".*/\1/')
curl -s "http://127.0.2.1:8080/v1/batches" -H "Authorization: Bearer $KEY" -d "{\"input_file_id\":\"$file\"}" >"$WORK/job.json"
job=$(sed 's/.*"id":"\(batch-[^"]*\)".*/\1/' "$WORK/job.json")
sleep 4
busy() { s=0; i=1; while [ $i -le $ENGINES ]; do v=$(curl -s "http://127.0.1.$i:9001/standin/executions" | sed 's/.*"busy_slot_steps":\([0-9]*\),"steps":\([0-9]*\).*/\1 \2/'); s="$s $v"; i=$((i+1)); done; echo $s; }
use() { echo "$1 $2" | awk -v s=$SLOTS '{ n = (NF - 2) / 4; for (i = 0; i < n; i++) { b += $(2 + 2*n + 1 + 2*i) - $(2 + 2*i); t += ($(2 + 2*n + 2 + 2*i) - $(3 + 2*i)) * s } printf "%.3f\n", b / t }'; }
a=$(busy); sleep 10; b=$(busy)
echo "slots in use by batch alone: $(use "$a" "$b")"
a=$(busy)
echo "through $NODES nodes, $RATE/s, with a batch backlog:"
"$BIN" load --callers "$CALLERS" --key "$KEY" --model m --rate $RATE --seconds $SECONDS_LONG --tokens 8
b=$(busy)
echo "slots in use by batch and online: $(use "$a" "$b")"
curl -s "http://127.0.2.1:8080/v1/batches/$job" -H "Authorization: Bearer $KEY" | sed 's/.*"request_counts":\({[^}]*}\).*/job: \1/'; echo
curl -s "http://$STORE/standin/calls"; echo
