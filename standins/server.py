"""Runs a stand-in's HTTP application until it is told to end."""

from __future__ import annotations

import asyncio
import signal

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette


def run_server(application: Starlette, port: int) -> None:
    """Serves on loopback until SIGTERM or SIGINT."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.graceful_timeout = 0.2
    config.keep_alive_max_requests = 10_000_000
    config.keep_alive_timeout = 60

    async def main() -> None:
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, ended.set)
        await serve(application, config, shutdown_trigger=ended.wait)

    asyncio.run(main())
