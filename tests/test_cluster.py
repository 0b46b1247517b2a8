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

    def test_signal_is_sent_to_a_process_that_handles_it(
        self, tmp_path: Path
    ) -> None:
        """A process that had just been restarted ended by the signal."""
        cluster = Cluster(ClusterConfig(zones=["z1"]), tmp_path)
        program = (
            "import signal, sys, time; time.sleep(0.3);"
            "signal.signal(signal.SIGTERM, lambda *_: sys.exit(0));"
            "time.sleep(30)"
        )
        for name in ("z1-0-entry", "z1-0-scheduler"):
            cluster.start_process(name, "-c", program)
        try:
            assert cluster.drain_instance("z1-0") == [0, 0]
        finally:
            cluster.close()
