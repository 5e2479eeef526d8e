#!/bin/sh
# Checks the cases' stand-ins. They are Python programs of the standard library and
# need no build; the scripts start them and the program of the deploy file.
set -eu
cd "$(dirname "$0")"
for it in standins/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
