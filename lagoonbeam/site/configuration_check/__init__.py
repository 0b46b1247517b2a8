"""Checks a configuration before it is published."""
