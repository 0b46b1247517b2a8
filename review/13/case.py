"""A late start reaches the next life of a worker that is cut off."""

from __future__ import annotations

import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_site import (  # noqa: E402
    CannotRunError,
    LoopbackSite,
    SiteOptions,
    Tenant,
    has_trouble,
    make_job,
    run_case,
    submit,
)

TENANT = Tenant("armor", "key-of-armor", "/checks/", 0, 8)
WORKERS = 12
RUN_S = 12.0
LATE_S = 8.0
"""Late orders are carried out 2 to 12 s later."""
CUT_AFTER_S = 5.0
"""Time from the start without an answer to the cut of its worker."""
CUT_S = 5.5
REBORN_AFTER_S = 1.0
"""Time from the cut to the crash and new start behind it."""
END_S = 8.0


def find_overlaps(site: LoopbackSite) -> list[str]:
    """Returns the work items of which two runs were there at once."""
    begun: dict[tuple[str, int, str], float] = {}
    spans: dict[str, list[tuple[float, float, int, str]]] = {}
    for event in site.read_history():
        task = event["task"].replace(".", "/")
        key = (task, event["run"], event["worker"])
        if event["event"] == "started":
            begun[key] = event["at_s"]
        else:
            span = (begun.pop(key), event["at_s"], *key[1:])
            spans.setdefault(task, []).append(span)
    for (task, run, worker), at_s in begun.items():
        spans.setdefault(task, []).append((at_s, float("inf"), run, worker))
    for task, each in spans.items():
        for began_s, ended_s, run, worker in sorted(each):
            site.note(
                f"{task} run {run} on {worker}: {began_s - site.began_at_s:.3f}"
                f" to {ended_s - site.began_at_s:.3f}"
            )
    return [
        f"{task}: {min(a[1], b[1]) - b[0]:.2f} s"
        for task, each in spans.items()
        for a, b in itertools.combinations(sorted(each), 2)
        if b[0] < a[1]
    ]


def play(site: LoopbackSite) -> bool:
    """Returns whether no work item was at work twice at once."""
    time.sleep(4.0)
    if has_trouble():
        site.set_worker_faults(0, late_s=LATE_S)
    if submit(site, TENANT, make_job(RUN_S)) is None:
        raise CannotRunError("the job was not accepted")
    if has_trouble():
        name = ""
        until_s = time.monotonic() + 10.0
        while not name and time.monotonic() < until_s:
            time.sleep(0.05)
            name = site.set_worker_faults(0)
        if not name:
            raise CannotRunError("no worker was sent a start")
        worker = int(name[1:])
        site.note(f"{name}: start without an answer; then 503 for starts")
        time.sleep(CUT_AFTER_S)
        site.set_worker_faults(worker, cut=True)
        site.note(f"{name}: cut off")
        time.sleep(REBORN_AFTER_S)
        site.set_worker_faults(worker, reborn=True)
        site.note(f"{name}: crashed and started again behind the cut")
        time.sleep(CUT_S - REBORN_AFTER_S)
        site.set_worker_faults(worker, cut=False)
        site.note(f"{name}: reached again")
    time.sleep(END_S)
    overlaps = find_overlaps(site)
    site.note(f"two runs at once: {overlaps}")
    return not overlaps


if __name__ == "__main__":
    sys.exit(run_case(SiteOptions([TENANT], workers=WORKERS), FOLDER, play))
