#!/usr/bin/env bash
# Builds what the cases start besides the node, which the build of the deploy file makes: the project's own agent.
# The other stand-ins are Python (review/common/standins.py, standard library only) and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p control-plane || cargo build --release --locked -p control-plane
