#!/bin/sh
# Eight node processes: time until a roll is in force on all, until a withdrawn key is refused on all, and
# what online requests get while the store is away, slow and back. Usage: benchmarks/configuration.sh
here=$(cd "$(dirname "$0")" && pwd)
BIN=${SESAMEPIN:-$here/../sesamepin-dist/target/sesamepin}
WORK=$(mktemp -d); NODES=8; ENGINES=4; SLOTS=8; TOKEN_MS=20; PREFERENCE=throughput
. "$here/fleet.sh"
now() { date +%s%3N; }
roll() { "$BIN" bundle sign "$WORK/bundle.ini" --operator ana --key "$WORK/operator.key" --out "$WORK/bundle.signed" --set-version "$1" >/dev/null; "$BIN" bundle roll "$WORK/bundle.signed" --store $STORE >/dev/null; now; }
await_all() { # command that succeeds for node $1
  for i in 1 2 3 4 5 6 7 8; do until $1 $i; do :; done; done; now; }
at_version() { curl -s "http://127.0.2.$1:8081/status" | grep -q "\"version\":$VERSION,"; }
refuses() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.2.$1:8080/v1/models" -H "Authorization: Bearer $EXTRA")" = 401 ]; }
for VERSION in 2 3 4; do
  a=$(roll $VERSION); b=$(await_all at_version); echo "version $VERSION: in force on 8 of 8 after $((b - a)) ms"
done
EXTRA=$("$BIN" key new extra --customer load --bundle "$WORK/bundle.ini")
VERSION=5; roll 5 >/dev/null; await_all at_version >/dev/null
"$BIN" key withdraw extra --bundle "$WORK/bundle.ini" >/dev/null
a=$(roll 6); b=$(await_all refuses); echo "withdrawn key: refused on 8 of 8 after $((b - a)) ms"
fault() { curl -s "http://$STORE/standin/faults" -d "$1" >/dev/null; }
load() { echo "$1:"; "$BIN" load --callers "$CALLERS" --key "$KEY" --model m --rate 40 --warmup 1 --seconds ${2:-10} --tokens 4 | head -2; }
load "store up"
fault '{"kind":"outage"}'; load "store away (outage of 21 s)" 20
fault '{"kind":"slow","ms":800}'; load "store slow (800 ms)"
fault '{"kind":"none"}'; load "store back"
c0=$(curl -s "http://$STORE/standin/calls"); sleep 10; c1=$(curl -s "http://$STORE/standin/calls")
echo "store calls before and after 10 s at rest: $c0 $c1"
