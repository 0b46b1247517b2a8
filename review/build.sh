#!/bin/sh
# The stand-ins use the standard library only: there is nothing to compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 -c 'import standin_case'
