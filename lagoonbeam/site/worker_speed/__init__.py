"""Speed of workers, and what is left of the runs on them.

Workers of one kind may run the same task at different speeds. The active
scheduler estimates each worker's speed from the progress and the ends of its
runs; placement, release times and eviction read the estimates.
"""
