#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[ -d target/front/lib ] && [ -f target/review/LeavingRunner.class ] || { echo "not built: see review/REPORT.md"; exit 2; }
exec java -Xmx256m -Dreview.root=. -cp target/review LeavingRunner "$folder"
