from __future__ import annotations

from lagoonbeam.scheduler.node import SchedulerNode
from tests.fakes import make_settings


class TestHeartbeat:
    def test_no_version_is_told_before_the_log_was_read(self) -> None:
        """A restarted instance replays older versions; none is in force."""
        node = SchedulerNode(make_settings())
        node.journal.state.version = 2
        assert node.make_heartbeat().rules_version == 0
        node.journal.caught_up = True
        assert node.make_heartbeat().rules_version == 2
