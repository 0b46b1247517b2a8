"""``httpx`` clients for the platform's services."""

from __future__ import annotations

import functools
import ssl

import httpx


@functools.cache
def _get_ssl_context() -> ssl.SSLContext:
    return httpx.create_ssl_context(trust_env=False)


def create_httpx_client(url: str, *, timeout_s: float) -> httpx.AsyncClient:
    """Returns a client; all clients share one TLS context.

    Args:
        url: Base URL. For plain HTTP no certificates are loaded, which saves
            memory.
        timeout_s: Timeout of each phase of a request (connect, read, write,
            pool) unless the request sets its own.
    """
    uses_tls = not url.startswith("http:")
    return httpx.AsyncClient(
        timeout=timeout_s,
        trust_env=False,
        verify=_get_ssl_context() if uses_tls else False,
    )
