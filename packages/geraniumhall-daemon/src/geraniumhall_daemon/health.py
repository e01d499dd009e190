"""Health, readiness and metrics pages, served by all listeners but the callers'.

On the callers' listener the routes alone decide, since a route may hold any path.

The function that builds a page is registered under the page's path::

    @STATUS_PAGES.register("/healthz")
    def show_health(daemon): ...
"""

from collections.abc import Callable

import attrs
import trio

from geraniumhall_core.refusals import UNKNOWN_ROUTE
from geraniumhall_core.registry import Registry
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.serving import HEALTH, send_refusal, serve_connection
from geraniumhall_net.server import ReceivedRequest, ServerConnection, ServerLimits

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


async def serve_status(
    daemon: Daemon, stream: trio.abc.Stream, group: str = HEALTH
) -> None:
    """Serve status pages only, until the connection closes.

    `group` names the listener.
    """
    await serve_connection(daemon, stream, ServerLimits, serve_page, group)


async def serve_page(
    daemon: Daemon, connection: ServerConnection, received: ReceivedRequest
) -> bool:
    """Answer with the status page at the request's path, or refuse the request."""
    path = received.head.path
    if path not in STATUS_PAGES:
        await send_refusal(daemon, connection, UNKNOWN_ROUTE, close=False)
        return True
    page = STATUS_PAGES.find(path)(daemon)
    close = daemon.state.is_draining
    await connection.send_response(page.status, TEXT_HEADERS, page.body, close=close)
    return True
