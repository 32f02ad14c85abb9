#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the deployed program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/support-2/*.java
