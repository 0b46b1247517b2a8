from __future__ import annotations

import anyio
import pytest

from lagoonbeam.core.records import JobAccepted, RecordBatch, encode_batch
from lagoonbeam.errors import UnknownJobError
from lagoonbeam.log import LOG_STORES
from lagoonbeam.scheduler.process import SchedulerProcess
from tests.fakes import FakeLog, make_job, make_settings


class TestHeartbeat:
    def test_rules_version_is_zero_until_log_is_read(self) -> None:
        """A restarted instance replays older versions that are not in force."""
        process = SchedulerProcess(make_settings())
        process.log_client.state.rules_version = 2
        assert process.make_heartbeat().rules_version == 0
        process.log_client.caught_up = True
        assert process.make_heartbeat().rules_version == 2


class TestJobLookup:
    def test_log_is_read_before_a_job_counts_as_unknown(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log = FakeLog()
        monkeypatch.setattr(
            LOG_STORES, "get", lambda name: lambda settings: log
        )
        process = SchedulerProcess(make_settings())
        batch = RecordBatch("other", 0, (JobAccepted(make_job("j1")),))

        async def scenario() -> None:
            await log.append(encode_batch(batch))
            assert (
                await process.job_registry.wait_job("j1", 0.0)
            ).job_id == "j1"
            with pytest.raises(UnknownJobError):
                await process.job_registry.cancel("j2")

        anyio.run(scenario)
