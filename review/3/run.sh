#!/usr/bin/env bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if there is no
# result. With TROUBLE=0 the same is played without the disruption.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
