"""A scheduler for multi-accelerator jobs under organisation guarantees.

The public face for operators is `lagoonbeam.rules`; programs are started by
their names, see the README.
"""

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.rules import RulesBuilder

__all__ = ["LagoonbeamError", "RulesBuilder"]
