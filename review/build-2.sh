#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10: clients, replicas and the platform's
# store. Needs a JDK, and no library. The scripts start the nodes from the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
javac -encoding UTF-8 -d "$root/target/review-2" "$root"/review/standin2/*.java
