"""Health, readiness and metrics, answered on every listener.

What a path is answered with is registered under it::

    @STATUS_PAGES.register("/healthz")
    def show_health(daemon): ...
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_net.server import ServerConnection

STATUS_OK = 200
STATUS_SERVICE_UNAVAILABLE = 503
TEXT_HEADERS = ((b"content-type", b"text/plain; charset=utf-8"),)


@attrs.frozen
class StatusPage:
    """A status and a text."""

    status: int
    body: bytes


STATUS_PAGES: Registry[str, Callable[[Daemon], StatusPage]] = Registry("status page")


@STATUS_PAGES.register("/healthz")
def show_health(daemon: Daemon) -> StatusPage:
    """Tell that the process runs."""
    return StatusPage(STATUS_OK, b"ok\n")


@STATUS_PAGES.register("/readyz")
def show_readiness(daemon: Daemon) -> StatusPage:
    """Tell whether the balancer should send requests."""
    if daemon.state.is_ready(daemon.read_now()):
        return StatusPage(STATUS_OK, b"ok\n")
    return StatusPage(STATUS_SERVICE_UNAVAILABLE, b"not ready\n")


@STATUS_PAGES.register("/metrics")
def show_metrics(daemon: Daemon) -> StatusPage:
    """Show all metrics."""
    return StatusPage(STATUS_OK, daemon.metrics.encode())


async def answer_status(
    daemon: Daemon, connection: ServerConnection, path: str
) -> None:
    """Answer with the page of a path."""
    page = STATUS_PAGES.find(path)(daemon)
    close = daemon.state.is_draining
    await connection.send_response(page.status, TEXT_HEADERS, page.body, close)
