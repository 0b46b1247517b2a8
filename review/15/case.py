"""Jobs wait for room while one worker refuses all starts as unhealthy."""

from __future__ import annotations

import secrets
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
    make_step,
    run_case,
)

TENANT = Tenant("armor", "key-of-armor", "/renders/", 0, 8)
WORKERS = 12
"""One of them is a share of 0.083; the site file gives 0.085."""
LONG_RUN_S = 60.0
WAITING_JOBS = 7
VISIBLE_S = 3.0
SLACK_S = 2.0


def submit_full_width(site: LoopbackSite) -> str:
    """Submits a job that needs a whole worker."""
    job_id = secrets.token_hex(8)
    body = make_job(LONG_RUN_S, make_step(gpu=8), gpu=8)
    reply = site.call("POST", TENANT, job_id, body=body)
    site.note(f"POST {job_id}: {reply.status}")
    if reply.status != 200:
        raise CannotRunError(f"a job was not accepted: {reply.status}")
    return job_id


def list_started(site: LoopbackSite) -> dict[str, str]:
    """Returns the worker of each job of which a work item has started."""
    return {
        event["task"].partition(".")[0]: event["worker"]
        for event in site.read_history()
        if event["event"] == "started"
    }


def play(site: LoopbackSite) -> bool:
    """Returns whether the jobs that wait are counted as pending."""
    for _ in range(WORKERS - 1):
        submit_full_width(site)
    if not site.wait_until(
        lambda: len(list_started(site)) == WORKERS - 1, 10.0
    ):
        raise CannotRunError("the first jobs did not start")
    names = {f"w{number}" for number in range(WORKERS)}
    (free,) = names - set(list_started(site).values())
    if has_trouble():
        site.set_unhealthy(int(free[1:]), is_unhealthy=True)
        site.note(f"{free} refuses all starts with 503")
    waiting = {submit_full_width(site) for _ in range(WAITING_JOBS)}
    time.sleep(VISIBLE_S + SLACK_S + 0.5)
    has_held = True
    not_begun = len(waiting - set(list_started(site)))
    for name in site.names:
        reply = site.call("GET", TENANT, "", instance=name)
        site.note(
            f"GET {TENANT.prefix} at {name}: {reply.status} {reply.body};"
            f" {not_begun} jobs have not begun"
        )
        if reply.status == 200 and 2 * reply.body["pending"] < not_begun:
            has_held = False
    states = {str(site.call("GET", TENANT, job_id).body) for job_id in waiting}
    site.note(f"states of the waiting jobs: {states}")
    if has_trouble():
        site.set_unhealthy(int(free[1:]), is_unhealthy=False)
    return has_held


if __name__ == "__main__":
    options = SiteOptions([TENANT], workers=WORKERS)
    sys.exit(run_case(options, FOLDER, play))
