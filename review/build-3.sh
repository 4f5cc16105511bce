#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: compiles them, with nothing to fetch.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins_3.py
for scenario in 1[1-5]/scenario.py; do
    if [ -e "$scenario" ]; then
        python3 -m py_compile "$scenario"
    fi
done
