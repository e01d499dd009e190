"""Steady load of one tenant, and the reading of the record."""

import asyncio
import random

from case_fleet import Client

KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "ficu95.example"


def build_configuration(service, rate=0, version=7, prefix="/lohu930/", kind="idempotent", **more):
    route = {"name": "r-6tta828", "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000,
             "latency_target_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "anonymous": False,
             "sticky": False, "resumable": False}
    tenant = {"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "token_stream", "plain_tokens": 200,
              "rate_per_s": rate, "burst": rate}
    return {"version": version, "routes": [{**route, **more}],
            "services": [{"name": service, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [tenant]}


def build_headers(tokens=None):
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
    if tokens:
        headers["X-Token-Counts"] = f"{tokens - 40},40"
    return headers


class Load:
    """Clients that together send `rate` requests a second, each on its kept connection."""

    def __init__(self, fleet, clients, rate, tokens=None, method="GET", target="/lohu930/2f", timeout=5.0):
        self.fleet, self.rate, self.tokens = fleet, rate, tokens
        self.method, self.target, self.timeout = method, target, timeout
        self.clients = [Client(fleet, f"client-{n}") for n in range(clients)]
        self.statuses = []  # time sent, status
        self.tasks = set()

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        free = list(self.clients)
        next_at = loop.time()
        while loop.time() < end:
            next_at += 1 / self.rate
            if free:
                client = free.pop(random.randrange(len(free)))
                task = asyncio.create_task(self._send(client, free))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    async def finish(self):
        await asyncio.gather(*self.tasks)

    async def _send(self, client, free):
        at = asyncio.get_running_loop().time()
        _, answer = await client.send(self.method, self.target, build_headers(self.tokens), timeout=self.timeout)
        self.statuses.append((at, answer.status if answer else 0))
        free.append(client)
