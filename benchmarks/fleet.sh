#!/bin/sh
# Common part of the benchmarks: starts a fleet of separate processes on loopback addresses.
# Sourced with BIN, WORK, NODES, ENGINES, SLOTS, TOKEN_MS, PREFERENCE set; leaves KEY, STORE, CALLERS.
set -eu
PIDS=""
start() { name=$1; shift; "$BIN" "$@" >"$WORK/$name.log" 2>&1 & PIDS="$! $PIDS"; eval "PID_$(echo "$name" | tr - _)=$!"; }
stop_fleet() { for p in $PIDS; do kill -9 "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; PIDS=""; }
trap stop_fleet EXIT INT TERM
mkdir -p "$WORK"
export SESAMEPIN_JAVA_OPTS=${SESAMEPIN_JAVA_OPTS:--Xss512k -XX:+UseSerialGC -Xmx256m}
STORE=127.0.0.1:23790
start store stand-in store --address $STORE
start service stand-in service --name app-recuas --address 127.0.0.4:9001
rm -f "$WORK/operator.key"
"$BIN" operator new ana --key "$WORK/operator.key" >"$WORK/operator.ini"
{
  printf '[bundle]\nversion = 1\npreference = %s\n[customer load]\nrate = 5000\nburst = 5000\n' "$PREFERENCE"
  i=1; while [ $i -le ${CUSTOMERS:-1} ]; do printf '[customer c%d]\nrate = 10\nburst = 20\n' $i; i=$((i+1)); done
  printf '[model m]\nprogress_timeout_ms = 5000\n'
  i=1; while [ $i -le $ENGINES ]; do
    printf '[target t%d]\nmodel = m\naddress = 127.0.1.%d:9001\nslots = %d\n' $i $i $SLOTS; i=$((i+1)); done
  printf '[target s1]\nservice = app-recuas\naddress = 127.0.0.4:9001\n'
  printf '[route bookings]\npath = /bookings\nmethods = POST\nservice = app-recuas\n'
} >"$WORK/bundle.ini"
KEY=$("$BIN" key new load-key --customer load --bundle "$WORK/bundle.ini")
i=1; while [ $i -le $ENGINES ]; do
  # Unequal targets: every third is slower by half.
  ms=$TOKEN_MS; [ $((i % 3)) -eq 0 ] && ms=$((TOKEN_MS * 3 / 2))
  start engine-$i stand-in engine --name m --address 127.0.1.$i:9001 --slots $SLOTS --token-ms $ms; i=$((i+1)); done
"$BIN" bundle sign "$WORK/bundle.ini" --operator ana --key "$WORK/operator.key" --out "$WORK/bundle.signed" >/dev/null
"$BIN" bundle roll "$WORK/bundle.signed" --store $STORE >/dev/null
CALLERS=""
i=1; while [ $i -le $NODES ]; do
  ip=127.0.2.$i
  { printf '[node]\nhost = entry-%d\nfailure_domain = d%d\ncaller_address = %s:8080\nadmin_address = %s:8081\npeer_address = %s:8082\nevent_loops = 1\n[store]\naddress = %s\n[log]\nlevel = %s\n[operators]\n' \
    $i $((i % 3)) $ip $ip $ip $STORE "${LOG_LEVEL:-warn}"; grep -v '^#' "$WORK/operator.ini"; } >"$WORK/node-$i.ini"
  start node-$i node --config "$WORK/node-$i.ini"
  CALLERS="$CALLERS${CALLERS:+,}$ip:8080"; i=$((i+1)); done
i=1; while [ $i -le $NODES ]; do
  until curl -sf "http://127.0.2.$i:8081/ready" >/dev/null; do sleep 0.2; done; i=$((i+1)); done
