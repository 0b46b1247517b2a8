"""Runs the real processes against stand-ins: demos, soak and load tests."""
