#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are Python files that need only
# the standard library, so this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins of the second review: built"
