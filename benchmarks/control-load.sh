#!/bin/sh
# Control load of an idle fleet: processor time, memory, peer and store traffic a node, for several
# numbers of nodes. Usage: benchmarks/control-load.sh "2 4 8 16" [CUSTOMERS]
here=$(cd "$(dirname "$0")" && pwd)
BIN=${SESAMEPIN:-$here/../sesamepin-dist/target/sesamepin}
CUSTOMERS=${2:-1}
echo "| nodes | customers | core % a node | RSS MB a node | loopback KB/s a node | store reads/s | store writes+keepalives/s |"
echo "|---|---|---|---|---|---|---|"
for NODES in $1; do
  WORK=$(mktemp -d); ENGINES=3; SLOTS=8; TOKEN_MS=20; PREFERENCE=throughput
  . "$here/fleet.sh"
  sleep 25
  ticks() { t=0; i=1; while [ $i -le $NODES ]; do eval p=\$PID_node_$i; t=$((t + $(awk '{print $14+$15}' /proc/$p/stat))); i=$((i+1)); done; echo $t; }
  bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
  calls() { curl -s "http://$STORE/standin/calls"; }
  t0=$(ticks); b0=$(bytes); c0=$(calls)
  sleep 30
  t1=$(ticks); b1=$(bytes); c1=$(calls)
  rss=0; i=1; while [ $i -le $NODES ]; do eval p=\$PID_node_$i; rss=$((rss + $(awk '/VmRSS/ {print $2}' /proc/$p/status))); i=$((i+1)); done
  get() { echo "$1" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" | grep . || echo 0; }
  reads=$(( $(get "$c1" read) - $(get "$c0" read) ))
  writes=$(( $(get "$c1" write) - $(get "$c0" write) + $(get "$c1" keepalive) - $(get "$c0" keepalive) ))
  awk -v n=$NODES -v cu=$CUSTOMERS -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v r=$reads -v w=$writes -v m=$rss 'BEGIN {
    printf "| %d | %d | %.2f | %.0f | %.1f | %.1f | %.1f |\n", n, cu, t / 30 / n, m / 1024 / n, b / 1024 / 30 / n, r / 30, w / 30 }'
  stop_fleet
done
