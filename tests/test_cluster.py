from __future__ import annotations

from pathlib import Path

import pytest

from harness.cluster import Cluster, Plan


class TestCluster:
    def test_failed_start_leaves_no_process_behind(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster = Cluster(Plan(zones=["z1"], instances=1), tmp_path)

        def fail(_: Cluster) -> None:
            raise TimeoutError

        monkeypatch.setattr(Cluster, "wait_served", fail)
        with pytest.raises(TimeoutError), cluster:
            pass
        assert cluster.processes
        running = [
            name for name in cluster.processes if cluster.is_running(name)
        ]
        assert not running
