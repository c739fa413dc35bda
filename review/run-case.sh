#!/bin/sh
# Plays a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
if [ ! -f "$root/target/review-2/$1.class" ] || [ ! -f "$root/target/sesamepin.jar" ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
timeout -k 2 116 java -Xmx2g -cp "$root/target/review-2" "$1" "$root" "$2/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
