"""Health, readiness and metrics pages, served by every listener.

The function that builds a page is registered under the page's path::

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
    """Status code and text of a page."""

    status: int
    body: bytes


STATUS_PAGES: Registry[str, Callable[[Daemon], StatusPage]] = Registry("status page")


@STATUS_PAGES.register("/healthz")
def show_health(daemon: Daemon) -> StatusPage:
    """Report that the process is running."""
    return StatusPage(STATUS_OK, b"ok\n")


@STATUS_PAGES.register("/readyz")
def show_readiness(daemon: Daemon) -> StatusPage:
    """Report whether a load balancer should send requests to this daemon."""
    if daemon.state.is_ready(daemon.read_now()):
        return StatusPage(STATUS_OK, b"ok\n")
    return StatusPage(STATUS_SERVICE_UNAVAILABLE, b"not ready\n")


@STATUS_PAGES.register("/metrics")
def show_metrics(daemon: Daemon) -> StatusPage:
    """Return all metrics in the Prometheus text format."""
    return StatusPage(STATUS_OK, daemon.metrics.encode())


async def answer_status(
    daemon: Daemon, connection: ServerConnection, path: str
) -> None:
    """Send the status page registered under `path`."""
    page = STATUS_PAGES.find(path)(daemon)
    close = daemon.state.is_draining
    await connection.send_response(page.status, TEXT_HEADERS, page.body, close)
