"""A service is dropped from the configuration while an order for it is open."""

import asyncio
import random
from copy import deepcopy
from pathlib import Path

from kit2 import fleet, http
from kit2.replica import Replica

CONNECTIONS = 12  # kept ones to each daemon, with a request on each
WORK_SECONDS = 2.5
DOWN_SECONDS = 4.0  # of the platform's API
CHANGE_AFTER = 0.3  # the version comes so long after an order has been sent
DEADLINE_MS = 8000
MOST = 3
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
ZONES = ["riga-a", "riga-b", "riga-c"]


def build_models(name):
    """Return a service of model replicas that may be ordered."""
    return {
        "name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1",
        "tls": False,
        "engine": {"slots": 64, "kv_capacity": 591094, "kv_token_bytes": 18432,
                   "link_mbps": 140000.0, "handle_ttl_s": 5.0, "switch_s": 3.0,
                   "models": [{"name": "m"}]},
        "scale": {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.15,
                  "zone_prices": {zone: 1.0 for zone in ZONES}},
    }  # fmt: skip


def build_route(name, path, kind, service):
    """Return a route to one service."""
    return {
        "name": name, "host": HOST, "path_prefix": path, "kind": kind,
        "timeout_ms": DEADLINE_MS, "latency_target_ms": 600, "gap_target_ms": 200,
        "priority": 2, "service": service, "max_attempts": 1, "anonymous": False,
        "sticky": kind == "streaming", "resumable": False,
    }  # fmt: skip


CONFIGURATION = {
    "version": 7,
    "routes": [
        build_route("r-submit", "/submit/", "non_idempotent", "filing"),
        build_route("r-notes", "/notes/", "streaming", "former"),
    ],
    "services": [
        {"name": "filing", "health_path": "/health", "max_conns": 110,
         "protocol": "h1", "tls": False},
        build_models("drafting"),
        build_models("former"),
    ],
    "limits": fleet.LIMITS,
    "tenants": [
        {"name": "hule930", "api_keys": [KEY], "priority": 1,
         "unit": "token_stream", "plain_tokens": 1,
         "rate_per_s": 100000, "burst": 100000},
    ],
}  # fmt: skip


async def run(replica, request, writer):
    """Work on a request, shortly or long, and answer it."""
    request_id = http.find(request[2], "x-request-id")
    replica.store.record.write(f"{request_id} runs at {replica.name}")
    await asyncio.sleep(WORK_SECONDS if request[1].endswith("long") else 0.02)
    headers = [
        ("X-Request-Id", request_id),
        ("X-Server-Stamp", f"{replica.name}.{request_id}"),
    ]
    writer.write(http.build_response(200, headers, b"{}"))
    await writer.drain()
    return True


async def serve_on_kept(group, daemon, results):
    """Send a short request, then a long one on the kept connection."""
    host, port = daemon.front.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    for kind in ("short", "long"):
        request_id = f"{random.getrandbits(64):016x}"
        headers = [
            ("Host", HOST), ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Authorization", f"Bearer {KEY}"), ("Content-Length", "2"),
        ]  # fmt: skip
        group.record.write(f"{request_id} ({kind}) sent to {daemon.name}")
        start = f"POST /submit/{kind} HTTP/1.1"
        end = "closed without an answer"
        try:
            writer.write(http.build_head(start, headers) + b"{}")
            head = await http.read_head(reader)
            if head is not None:
                body = await http.read_body(reader, head[1])
                end = f"{head[0]}, whole, {len(body)} bytes"
        except (http.BrokenMessage, OSError):
            pass
        group.record.write(f"{request_id} ({kind}): {end}")
        results.append((daemon, kind, end))
    writer.close()


async def play(group, has_trouble):
    """Drop a service while the API is down and an order for it has no answer."""
    group.store.record = group.record
    group.replicas = [
        Replica(group.store, f"i-{random.getrandbits(40):010x}", service, run, zone,
                1.2, phase=None if service == "filing" else "decode")
        for service in ("filing", "drafting", "former")
        for zone in ZONES
    ]  # fmt: skip
    await group.start(CONFIGURATION, ["riga-a", "riga-b"])
    await asyncio.sleep(8.0)
    moved = deepcopy(CONFIGURATION)
    moved["version"] = 9
    moved["routes"][1]["service"] = "drafting"
    await group.store.put("config", "main", moved)
    group.record.write("version 9 moves r-notes to drafting: acknowledged")
    # Orders that are not met are repeated some seconds later.
    loop = asyncio.get_running_loop()
    while group.cloud.ordered_at is None or (
        not 3.0 < loop.time() - group.cloud.ordered_at < 5.0
    ):
        await asyncio.sleep(0.1)
    if has_trouble:
        group.cloud.down_until = loop.time() + DOWN_SECONDS
        group.record.write("the platform's API is down (silent)")
    if has_trouble:
        try:
            await asyncio.wait_for(group.cloud.silent.wait(), DOWN_SECONDS)
        except TimeoutError as error:
            raise fleet.CannotRun("no order was sent meanwhile") from error
        group.record.write("an order of replicas gets no answer")
    results = []
    tasks = [
        asyncio.create_task(serve_on_kept(group, daemon, results))
        for daemon in group.daemons
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(CHANGE_AFTER)
    dropped = deepcopy(moved)
    dropped["version"] = 10
    dropped["services"] = [s for s in moved["services"] if s["name"] != "former"]
    await group.store.put("config", "main", dropped)
    group.record.write("version 10 without the service former: acknowledged")
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    reasons = []
    for daemon in group.daemons:
        ends = [e for d, kind, e in results if d is daemon and kind == "long"]
        cut = sum("whole" not in end for end in ends)
        code = daemon.process.returncode
        state = "it runs" if code is None else f"it has ended by itself, code {code}"
        group.record.write(
            f"{daemon.name}: {cut} of {len(ends)} requests that had been passed on"
            f" were closed without an answer; {state}"
        )
        if cut > MOST:
            reasons.append(f"LOST: {cut} requests at {daemon.name}, {state}")
    return "; ".join(reasons)


if __name__ == "__main__":
    fleet.run_case(Path(__file__).parent, play)
