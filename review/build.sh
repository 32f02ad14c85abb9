#!/bin/sh
# Builds the stand-ins and the cases' programs. Needs the build of deploy/system.toml first.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review -cp target/fawnvale.jar review/support/*.java
