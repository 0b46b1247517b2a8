"""Starts that may be carried out after their run was recorded as ended."""
