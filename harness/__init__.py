"""Runs the real processes against the stand-ins: demo, soak and load."""
