#!/bin/sh
# TROUBLE=0 plays the same without the disruption; see case.py.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py
