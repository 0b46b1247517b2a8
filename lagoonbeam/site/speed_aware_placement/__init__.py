"""Placement of units on workers of unequal speed.

Each unit is placed by the speed that it needs to end in time; the package uses
`place_unit` on groups of equally fast workers and decides nothing else.
"""
