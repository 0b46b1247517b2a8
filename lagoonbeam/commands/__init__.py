"""The programs' command lines.

Exit codes: 0 success, 1 the call was refused or failed, 2 wrong usage or
invalid settings, 3 the entry cannot be reached.
"""
