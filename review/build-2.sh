#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK only.
set -e
cd "$(dirname "$0")/standins-2"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes *.java
