"""The scheduler process of an availability zone."""
