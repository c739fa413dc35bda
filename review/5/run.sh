#!/bin/sh
# TROUBLE=0 leaves the extra answers out. KEEP_LOGS=FOLDER keeps the logs of the nodes.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx1g -cp target/review:target/sesamepin.jar Main ExtraAnswers review/5
