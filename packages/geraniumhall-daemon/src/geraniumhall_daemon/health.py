"""Health and readiness, answered on both listeners."""

from collections.abc import Callable

from geraniumhall_core.registry import Registry
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_net.server import ServerConnection

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
TEXT_HEADERS = ((b"content-type", b"text/plain"),)

HEALTH_CHECKS: Registry[str, Callable[[Daemon], bool]] = Registry("health check")


@HEALTH_CHECKS.register("/healthz")
def check_health(daemon: Daemon) -> bool:
    """Tell that the process runs."""
    return True


@HEALTH_CHECKS.register("/readyz")
def check_readiness(daemon: Daemon) -> bool:
    """Tell whether the balancer should send requests."""
    return daemon.state.is_ready(daemon.read_now())


async def answer_health(
    daemon: Daemon, connection: ServerConnection, path: str
) -> None:
    """Answer a health check."""
    is_good = HEALTH_CHECKS.find(path)(daemon)
    status = STATUS_OK if is_good else STATUS_UNAVAILABLE
    body = b"ok\n" if is_good else b"not ready\n"
    close = daemon.state.is_draining
    await connection.send_response(status, TEXT_HEADERS, body, close)
