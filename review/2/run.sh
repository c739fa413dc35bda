#!/bin/sh
# TROUBLE=0 leaves the outage of the store out. KEEP_LOGS=FOLDER keeps the logs of the nodes.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review:target/sesamepin.jar Main LargeSegment review/2
