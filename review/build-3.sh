#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 with the JDK alone; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/11/standins/*.java
