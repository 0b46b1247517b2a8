"""Creates the controllers that give orders to the platform's machines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from lagoonbeam.site.controllers import ControllerContext, MachineController
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.machine_fences import MachineFences
from lagoonbeam.site.machines import TermHolder
from lagoonbeam.site.model import Configuration
from lagoonbeam.site.platform_interface import PlatformServices
from lagoonbeam.site.records import Record
from lagoonbeam.site.spare_pools import ShortageTracker, SparePoolController
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.upkeep import UpkeepController


def make_machine_controllers(
    platform_services: PlatformServices,
    *,
    get_state: Callable[[], SiteState],
    append_records: Callable[[Sequence[Record]], Awaitable[bool]],
    evacuations: WorkerEvacuator,
    holder: TermHolder,
    shortages: ShortageTracker,
    get_configuration: Callable[[], Configuration],
    lose_term: Callable[[str], None],
    decisions: DecisionLog,
) -> list[MachineController]:
    """Creates the controllers of one term; none without a machine service.

    Args:
        platform_services: Adapters to the platform.
        get_state: Returns the replica of the state.
        append_records: Appends records; returns whether they are stored.
        evacuations: Empties workers before their machines are taken.
        holder: Identifies the term in orders to machines.
        shortages: Steps for which room is missing.
        get_configuration: Returns the current configuration.
        lose_term: Ends the term, for a cause.
        decisions: The decision log.
    """
    if platform_services.machines is None:
        return []
    context = ControllerContext(
        machines=platform_services.machines,
        get_state=get_state,
        append_records=append_records,
        evacuations=evacuations,
        fences=MachineFences(holder),
        lose_term=lose_term,
        decisions=decisions,
    )
    controllers: list[MachineController] = [
        SparePoolController(context, shortages, get_configuration)
    ]
    if platform_services.wave_registry is not None:
        controllers.append(
            UpkeepController(context, platform_services.wave_registry)
        )
    return controllers
