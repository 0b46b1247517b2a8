"""Command lines of the programs.

Exit codes: 0 success, 1 the request was refused or failed, 2 wrong usage or
invalid settings, 3 the entry cannot be reached.
"""
