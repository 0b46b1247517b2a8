"""The resident program that schedules an availability zone."""
