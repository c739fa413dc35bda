#!/bin/sh
# TROUBLE=0 lets the store do and answer each write at once; the node is killed all the same.
# KEEP_LOGS=FOLDER keeps the logs of the nodes.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review:target/sesamepin.jar Main LateRegistration review/5
