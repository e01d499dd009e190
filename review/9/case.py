"""A part that crashes replicas, in prompts of many parts."""

import asyncio
import os
import random
from collections import Counter
from pathlib import Path

from kit2 import fleet, http
from kit2.fleet import BOUNDS
from kit2.replica import Replica

PARTS = int(os.environ.get("PARTS", "40"))  # of a prompt, its own last part included
SESSIONS = 40  # whose requests share their parts
REPLICAS = 12
BACK_SECONDS = 3.0  # a crashed replica is back after some seconds
POISON_SECONDS = 20.0
POISON_GAP = 0.95  # a share of 0.03 of the requests
SOUND_GAP = 0.028
EVENTS = 5
DEADLINE_MS = 8000
CRASHES = 5  # from the fifth on the rule counts
MOST_LATER = 3
POISON = "deadbeef"
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-chat", "host": HOST, "path_prefix": "/chat/",
            "kind": "streaming", "timeout_ms": DEADLINE_MS,
            "latency_target_ms": 600, "gap_target_ms": 200, "priority": 2,
            "service": "assistant", "max_attempts": 1, "anonymous": False,
            "sticky": True, "resumable": False,
        },
    ],
    "services": [
        {
            "name": "assistant", "health_path": "/health", "max_conns": 360,
            "protocol": "h1", "tls": False,
            "engine": {
                "slots": 64, "kv_capacity": 601427, "kv_token_bytes": 18432,
                "link_mbps": 140000.0, "handle_ttl_s": 5.0, "switch_s": 3.0,
                "models": [{"name": "m"}],
            },
        },
    ],
    "limits": fleet.LIMITS,
    "tenants": [
        {
            "name": "hule930", "api_keys": [KEY], "priority": 1,
            "unit": "token_stream", "plain_tokens": 200,
            "rate_per_s": 5000000, "burst": 5000000,
        },
    ],
}  # fmt: skip


class Crashes:
    """The crashes of replicas, and the requests that reached replicas."""

    def __init__(self, record, has_trouble):
        self.record, self.has_trouble = record, has_trouble
        self.times = []
        self.arrivals = []

    def is_deadly(self, headers):
        """Return whether the prompt has the part that crashes replicas."""
        return POISON in http.find(headers, "x-prompt-prefix", "")

    async def run(self, replica, request, writer):
        """Read the prompt, then stream some events; crash before the first one."""
        _, _, headers, _ = request
        request_id = http.find(headers, "x-request-id")
        deadly = self.is_deadly(headers)
        if deadly:
            self.arrivals.append((self.record.now(), request_id))
            self.record.write(f"{request_id} (the part) runs at {replica.name}")
        await asyncio.sleep(0.05)
        if deadly and self.has_trouble:
            self.times.append(self.record.now())
            self.record.write(f"{replica.name} crashes, crash {len(self.times)}")
            asyncio.get_running_loop().create_task(self.restart(replica))
            await asyncio.sleep(10)
            return False
        writer.write(http.build_head("HTTP/1.1 200 OK", [
            ("Content-Type", "text/event-stream"), ("X-Request-Id", request_id),
            ("X-Server-Stamp", f"{replica.name}.{request_id}"),
            ("Transfer-Encoding", "chunked"),
        ]))  # fmt: skip
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.08)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def restart(self, replica):
        """Crash a replica and start it again, as another incarnation."""
        replica.crash()
        await asyncio.sleep(BACK_SECONDS)
        await self.store.remove("servers", replica.name)
        replica.name = f"i-{random.getrandbits(40):010x}"
        await replica.start()


def build_prompt(number, first):
    """Return the parts: the first one, those of the session, the request's own."""
    session = number % SESSIONS
    names = [first, *(f"5e{session:02x}{n:04x}" for n in range(PARTS - 2))]
    return ",".join([*(f"{name}:40" for name in names), f"{number:08x}:60"])


async def send(group, number, first, counts):
    """Send one request to some daemon and record its answer."""
    daemon = group.daemons[number % len(group.daemons)]
    request_id = f"{random.getrandbits(64):016x}"
    prompt = build_prompt(number, first)
    headers = [
        ("Host", HOST), ("X-Request-Id", request_id), ("X-Model", "m"),
        ("X-Token-Counts", f"{40 * (PARTS - 1) + 60},40"),
        ("X-Prompt-Prefix", prompt), ("X-Deadline-Ms", str(DEADLINE_MS)),
        ("Authorization", f"Bearer {KEY}"),
    ]  # fmt: skip
    kind = "the part" if first == POISON else "sound"
    group.record.write(f"{request_id} ({kind}) sent to {daemon.name}")
    answer = await http.call(daemon.front, "POST", "/chat/2f", headers, b"{}")
    group.record.write(f"{request_id} ({kind}) answered: {answer}")
    counts[kind, answer.status, answer.whole] += 1


async def play(group, has_trouble):
    """Send sound requests and, among them, requests with the part."""
    crashes = Crashes(group.record, has_trouble)
    crashes.store = group.store
    group.replicas = [
        Replica(group.store, f"i-{random.getrandbits(40):010x}", "assistant",
                crashes.run, "kgn-a", 1.2, phase="decode")
        for _ in range(REPLICAS)
    ]  # fmt: skip
    await group.start(CONFIGURATION, ["kgn-a", "kgn-b", "kgn-c"])
    await asyncio.sleep(6.0)
    counts = Counter()
    tasks = []
    began, number, next_poison = group.record.now(), 0, group.record.now() + 3.0
    while group.record.now() < began + 3.0 + POISON_SECONDS:
        number += 1
        tasks.append(asyncio.create_task(send(group, number, "5a5a0001", counts)))
        if group.record.now() >= next_poison:
            next_poison += POISON_GAP
            number += 1
            tasks.append(asyncio.create_task(send(group, number, POISON, counts)))
        await asyncio.sleep(SOUND_GAP)
    await asyncio.gather(*tasks)
    for (kind, status, whole), count in sorted(counts.items()):
        group.record.write(f"{count} x {kind}: {status}, whole {whole}")
    held = [
        line for daemon in group.daemons for line in daemon.read_log()
        if line.get("event") == "part_held"
    ]  # fmt: skip
    group.record.write(f"{len(crashes.times)} crashes; {len(held)} holds were logged")
    if len(crashes.times) < CRASHES:
        return ""
    from_time = crashes.times[CRASHES - 1] + BOUNDS["contact_ms"] / 1000
    later = [name for at, name in crashes.arrivals if at > from_time]
    group.record.write(
        f"{len(later)} requests with the part reached replicas later than contact_ms"
        f" after crash {CRASHES}; at most {MOST_LATER} may"
    )
    if len(later) > MOST_LATER:
        return f"BUDGET: {len(later)} requests with the part reached replicas"
    return ""


if __name__ == "__main__":
    fleet.run_case(Path(__file__).parent, play)
