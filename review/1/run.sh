#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout --preserve-status 115 python3 case.py
