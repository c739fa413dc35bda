#!/bin/sh
# Compiles the stand-ins of the cases against the jar of the project's own build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/sesamepin.jar review/standin/*.java
