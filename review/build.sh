#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -d target/review review/*.java
