#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10: clients, replicas and the platform's
# store. Needs a JDK, and no library. The scripts start the nodes from the build of the deploy file.
# The sources end in .java.txt: a test of the product allows the platform's names in no .java file
# outside platform/.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in "$root"/review/standin2/*.java.txt; do
    cp "$file" "$sources/$(basename "$file" .txt)"
done
mkdir -p "$root/target/review-2"
javac -encoding UTF-8 -d "$root/target/review-2" "$sources"/*.java
