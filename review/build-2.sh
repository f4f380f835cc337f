#!/bin/sh
# Builds what the cases of the second review start besides the build of the deploy file: the agent, and the stand-ins with
# the cases themselves (Rust, standard library only).
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p control-plane --bin balancer-agent ||
    cargo build --release --locked -p control-plane --bin balancer-agent
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/common-2/main.rs
