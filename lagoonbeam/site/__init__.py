"""Scheduling of multi-step jobs over all workers of a site.

All instances replicate their state from one journal in an external store.
The instance that holds the newest term is the active scheduler; every
instance answers callers from its own replica.
"""
