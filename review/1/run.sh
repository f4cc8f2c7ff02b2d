#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:.
export PYTHONPATH
python3 -P -c "import pimentocross.links.http_pool, review.common.world" || exit 2
exec python3 -P -m review.1.case
