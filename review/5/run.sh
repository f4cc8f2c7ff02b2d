#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/pimentocross ] || exit 2
PYTHONPATH="target/deps:review/loopback" exec python3 -P review/5/case.py
