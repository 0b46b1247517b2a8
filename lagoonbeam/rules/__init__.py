"""Library for operators that builds a rules document.

Example:
    >>> from lagoonbeam.rules import RulesBuilder
    >>> rules = RulesBuilder(based_on=0)
    >>> rules.declare_racks("lorient", racks=1, workers=6)
    >>> rules.add_organisation("armor", weight=2.0)
    >>> rules.allow_kind("armor", "edge-check", default_urgency="urgent")
    >>> rules.guarantee("armor", "lorient", slots=8, count=2)
    >>> document = rules.build()
    >>> document.organisations[0].guarantees[0].count
    2
"""

from lagoonbeam.rules.builder import RulesBuilder
from lagoonbeam.rules.changes import RuleChange, compare_rules

__all__ = ["RuleChange", "RulesBuilder", "compare_rules"]
