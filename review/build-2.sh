#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are in review/6/standins, into target/review-2. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/6/standins/*.java
