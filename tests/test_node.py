from __future__ import annotations

import anyio
import pytest

from lagoonbeam.core.records import Batch, JobAccepted, encode_batch
from lagoonbeam.errors import UnknownJobError
from lagoonbeam.log import LOG_STORES
from lagoonbeam.scheduler.node import SchedulerNode
from tests.fakes import FakeLog, make_job, make_settings


class TestHeartbeat:
    def test_no_version_is_told_before_the_log_was_read(self) -> None:
        """A restarted instance replays older versions; none is in force."""
        node = SchedulerNode(make_settings())
        node.journal.state.version = 2
        assert node.make_heartbeat().rules_version == 0
        node.journal.caught_up = True
        assert node.make_heartbeat().rules_version == 2


class TestUnknownJob:
    def test_job_that_another_instance_accepted_just_now_is_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log = FakeLog()
        monkeypatch.setattr(
            LOG_STORES, "get", lambda name: lambda settings: log
        )
        node = SchedulerNode(make_settings())
        batch = Batch("other", 0, (JobAccepted(make_job("j1")),))

        async def scenario() -> None:
            await log.append(encode_batch(batch))
            assert (await node.known.wait_job("j1", 0.0)).job_id == "j1"
            with pytest.raises(UnknownJobError):
                await node.known.cancel("j2")

        anyio.run(scenario)
