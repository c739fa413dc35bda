#!/bin/sh
# TROUBLE=0 leaves the end of the process and the late writes out.
# KEEP_LOGS=FOLDER keeps the logs of the nodes.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review:target/sesamepin.jar Main LateRegistration review/5
