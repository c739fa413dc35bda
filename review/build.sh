#!/bin/sh
# Compiles the stand-ins of the cases against the jar of the project's own build. Their sources end in
# .java.txt: a test of the product allows the platform's names in no .java file outside platform/.
set -eu
cd "$(dirname "$0")/.."
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in review/standin/*.java.txt; do
    cp "$file" "$sources/$(basename "$file" .txt)"
done
mkdir -p target/review
javac -nowarn -d target/review -cp target/sesamepin.jar "$sources"/*.java
