"""Signals that arrive before the daemon handles them."""

import signal

HANDLED_LATER = (signal.SIGHUP, signal.SIGUSR1)


def ignore_early_signals() -> None:
    """Ignore the signals that would end a process without a handler.

    Nothing is lost: the settings are read after this, and polled for changes later.
    A process that has just started has nothing to dump.
    """
    for number in HANDLED_LATER:
        signal.signal(number, signal.SIG_IGN)
