#!/bin/sh
# Checks and compiles the stand-ins that the cases 4 to 8 start. They run on the
# interpreter and the libraries of the deploy file's build, target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/pimentocross/standins ]; then
  sh deploy/build
fi
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
for file in review/loopback/*.py review/[4-8]/*.py; do
  python3 - "$file" "$out/$(echo "$file" | tr / _)c" <<'END'
import py_compile
import sys

py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)
END
done
PYTHONPATH=target/deps:review/loopback python3 -P -c 'import stage, store, worker'
