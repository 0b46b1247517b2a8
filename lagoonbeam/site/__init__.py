"""One scheduler for all workers of a site: jobs of steps, kept in a store.

Every instance follows one journal; the instance that holds the newest term
schedules, the others answer callers from their copy of the state.
"""
