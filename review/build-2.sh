#!/bin/sh
# The stand-ins of cases 6 to 10 need only Python's standard library: this
# checks that they compile, without writing anything. The instances run with
# the packages of the deploy file, in target/deps.
cd "$(dirname "$0")/.." || exit 1
for file in review/loopback_site.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py; do
    [ ! -f "$file" ] || python3 -c "
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
