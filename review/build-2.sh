#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python programs and
# need no build; this only checks that their interpreter is there and reads them.
set -euo pipefail
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
cd "$(dirname "$0")"
for each in lab-2/lab.py [0-9]*/case.py; do
  case $each in
  [1-5]/*) ;;
  *) python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each" ;;
  esac
done
