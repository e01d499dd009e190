"""A stand-in of a replica: registers itself, heartbeats, runs requests."""

import asyncio
import json
import time

from kit2 import http

JSON = [("Content-Type", "application/json")]


class Replica:
    """One replica at an address of its own; `run` is what it does with a request.

    `run(replica, request, writer)` is a coroutine that answers a request which the
    replica runs; it returns whether the connection may be kept.
    """

    def __init__(
        self, store, name, service, run, zone, heartbeat, phase=None, slots=64
    ):
        self.store, self.name, self.service, self.run = store, name, service, run
        self.zone, self.heartbeat, self.phase, self.slots = (
            zone,
            heartbeat,
            phase,
            slots,
        )
        self.state = "ready"
        self.seq = 0
        self.born = 0
        self.port = 0
        self.address = ""
        self.server = None
        self.beat_task = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        """Listen, on the port of an earlier start if there was one, and register."""
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.beat_task = asyncio.create_task(self._beat())

    def crash(self):
        """End as a crashed process does: all its connections are reset."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            http.reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def register(self):
        """Write the replica's entry to the store."""
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await self.store.put("servers", self.name, entry)

    async def _beat(self):
        while True:
            await self.register()
            await asyncio.sleep(self.heartbeat)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (head := await http.read_head(reader)) is not None:
                body = await http.read_body(reader, head[1])
                if not await self._answer(head, body, writer):
                    break
        except (http.BrokenMessage, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, head, body, writer):
        method, target, _ = head[0].split(" ")
        expected = http.find(head[1], "x-expect-instance")
        request_id = http.find(head[1], "x-request-id")
        named = [("X-Request-Id", request_id)] if request_id else []
        if target == "/health" or target == "/geraniumhall/report":
            report = {"phase": self.phase, "busy": False, "seq": 0}
            headers = [*JSON, ("X-Instance-Id", self.name)]
            answer = http.build_response(200, headers, json.dumps(report).encode())
        elif expected not in (None, self.name):
            headers = [("X-Not-Executed", "1"), ("X-Instance-Id", self.name), *named]
            answer = http.build_response(421, headers)
        elif request_id is None:
            answer = http.build_response(400, [("X-Not-Executed", "1")])
        else:
            return await self.run(self, (method, target, head[1], body), writer)
        writer.write(answer)
        await writer.drain()
        return True
