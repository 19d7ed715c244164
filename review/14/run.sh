#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays it in calm.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/review-3/RestoredDrain.class ] && [ -d target/front/lib ] || { echo "not built"; exit 2; }
rm -f review/14/record.txt
java -Xmx128m -cp target/review-3 RestoredDrain review/14
status=$?
# Tells a JVM that could not run from a rule that was broken.
grep -q "status $status$" review/14/record.txt || exit 2
exit "$status"
