"""Reception of signals until the exit of a process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio


@contextmanager
def receive_signals(
    *signals: signal.Signals,
) -> Iterator[AsyncIterator[signal.Signals]]:
    """Receives signals inside the block and ignores them after it.

    `anyio.open_signal_receiver` restores the default action, by which a signal
    ends a process that is still closing.

    Args:
        signals: Signals to receive; those blocked before are unblocked for the
            calling thread only, as other threads would take their default
            action while the handlers are replaced.
    """
    try:
        with anyio.open_signal_receiver(*signals) as received_signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)
            try:
                yield received_signals
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    finally:
        for number in signals:
            signal.signal(number, signal.SIG_IGN)
