#!/bin/sh
# Builds the stand-ins of review/11 to review/14. They are plain Python and use
# the standard library alone, so that this only checks that they compile. The
# system's own packages come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -B - case_http.py case_store.py case_workers.py case_site.py \
    1[1-5]/case.py <<'EOF'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
EOF
