"""Fencing tokens that keep late orders to machines from taking effect."""

from __future__ import annotations

from dataclasses import replace

from lagoonbeam.errors import TokensUsedUpError
from lagoonbeam.site.machines import TermHolder
from lagoonbeam.site.unconfirmed_orders import TOKENS_PER_TERM


class MachineFences:
    """Chooses the fencing token of each order to a machine.

    An order that differs from the one before it gets a higher token. A machine
    that has seen it refuses the earlier order, should that arrive later.

    Args:
        holder: Instance and term that give the orders.
    """

    def __init__(self, holder: TermHolder):
        self.holder = holder
        self._last_orders: dict[str, tuple[str, TermHolder]] = {}

    def get_holder(self, machine_id: str, order: str) -> TermHolder:
        """Returns the holder to name on an order.

        Args:
            machine_id: The machine.
            order: What it is ordered to do.

        Raises:
            TokensUsedUpError: If the next token would be of the next term.
        """
        last_order, holder = self._last_orders.get(
            machine_id, (order, self.holder)
        )
        if order != last_order:
            holder = replace(holder, token=holder.token + 1)
        if holder.token >= self.holder.token + TOKENS_PER_TERM:
            raise TokensUsedUpError(f"no token is left for {machine_id}")
        self._last_orders[machine_id] = order, holder
        return holder

    def is_newest(self, machine_id: str, holder: TermHolder) -> bool:
        """Whether no order with a higher token was given since."""
        return self._last_orders[machine_id][1] == holder
