"""Simulations in virtual time and measurements of running processes."""
