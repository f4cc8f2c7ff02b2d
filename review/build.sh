#!/bin/sh
# Compiles the stand-ins that the cases start, after the build of the deploy
# file has put the libraries and the project's own package under target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -P -m compileall -q review/common review/1 \
  review/2
