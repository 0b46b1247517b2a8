from __future__ import annotations

from pathlib import Path

import pytest

from harness.cluster import Cluster, ClusterConfig


class TestCluster:
    def test_failed_start_terminates_all_processes(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster = Cluster(
            ClusterConfig(zones=["z1"], instances_per_zone=1), tmp_path
        )

        def raise_timeout(_: Cluster) -> None:
            raise TimeoutError

        monkeypatch.setattr(
            Cluster, "wait_for_active_schedulers", raise_timeout
        )
        with pytest.raises(TimeoutError), cluster:
            pass
        assert cluster.processes
        running = [
            name for name in cluster.processes if cluster.is_running(name)
        ]
        assert not running
