#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs and need no
# build; this only checks that their interpreter is there.
set -euo pipefail
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
