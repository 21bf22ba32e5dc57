#!/usr/bin/env bash
# Builds what the cases start besides the node: nothing but Python, and msgspec (pinned in requirements-bench.txt), which
# a node of a fleet needs. Run it after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import msgspec' 2> /dev/null; then
  source scripts/environment requirements-bench.txt
fi
.venv/bin/python -m compileall -q review
