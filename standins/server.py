"""Serves a stand-in's HTTP application until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette


def run_server(application: Starlette, port: int) -> None:
    """Serves on one loopback port until SIGTERM or SIGINT."""
    run_servers(application, [f"127.0.0.1:{port}"])


def run_servers(
    application: Starlette,
    addresses: list[str],
    background: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serves on several loopback addresses until SIGTERM or SIGINT.

    Args:
        application: Application to serve.
        addresses: Addresses as ``HOST:PORT``.
        background: Coroutine function that runs beside the server and is
            cancelled when it stops.
    """
    config = Config()
    config.bind = addresses
    config.graceful_timeout = 0.2
    config.keep_alive_max_requests = 10_000_000
    config.keep_alive_timeout = 60

    async def serve_until_stopped() -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        background_task = (
            asyncio.ensure_future(background())
            if background is not None
            else None
        )
        await serve(application, config, shutdown_trigger=stop_requested.wait)
        if background_task is not None:
            background_task.cancel()

    asyncio.run(serve_until_stopped())
