#!/bin/sh
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec python3 case.py
