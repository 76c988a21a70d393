#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need only the standard
# library, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
