"""A stand-in of the platform: the object store and the API of the duties."""

import asyncio
import json
import time

from case_http import encode_response, serve

JSON = {"Content-Type": "application/json"}


class Platform:
    """Objects by kind and name with one revision counter, as PROTOCOL.md tells.

    While `silent` is set, no call is carried out and none is answered. `raw_specs`
    holds the bytes to send as the spec of an object.
    """

    def __init__(self):
        self.kinds = {}
        self.revision = 1
        self.history = []  # revision, kind, tombstone, object
        self.changed = asyncio.Condition()
        self.silent = False
        self.raw_specs = {}
        self.duties = []

    async def start(self, host):
        self.server, self.address = await serve(self._answer_store, host)
        self.duty_server, self.duties_address = await serve(self._answer_duty, host)

    async def write(self, kind, name, spec):
        """Write an object as the operator or a replica does; return the time of the ack."""
        self._store(kind, name, spec)
        await self._notify()
        return time.monotonic()

    async def remove(self, kind, name):
        item = self.kinds[kind].pop(name)
        self.revision += 1
        self.history.append((self.revision, kind, True, item))
        await self._notify()
        return time.monotonic()

    def _store(self, kind, name, spec):
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self.kinds[kind][name] = item
        self.history.append((self.revision, kind, False, item))
        return item

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _answer_store(self, call, writer):
        if self.silent:
            await asyncio.sleep(3600)
        kind, _, name = call.path.removeprefix("/geraniumhall/objects/").partition("/")
        query = call.query
        if call.method == "GET" and not name and "watch" in query:
            status, data = await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        elif call.method == "GET" and not name:
            items = [item for _, item in sorted(self.kinds.get(kind, {}).items())]
            status, data = 200, {"items": items, "more_pages": False, "current_rev": self.revision}
        elif call.method == "GET":
            item = self.kinds.get(kind, {}).get(name)
            status, data = (200, item) if item else (404, {})
        else:
            status, data = await self._change(call, kind, name)
        if self.silent:
            await asyncio.sleep(3600)
        writer.write(encode_response(status, JSON, self._encode(data)))

    def _encode(self, data):
        body = json.dumps(data).encode()
        for marker, raw in self.raw_specs.items():
            body = body.replace(json.dumps(marker).encode(), raw)
        return body

    async def _watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"tombstone": gone, "object": item}
                for revision, of, gone, item in self.history
                if of == kind and revision > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass

    async def _change(self, call, kind, name):
        data = json.loads(call.body) if call.body else {}
        metadata = data.get("metadata", {})
        objects = self.kinds.setdefault(kind, {})
        name = name or metadata.get("name")
        known = objects.get(name)
        expected = metadata.get("revision") or call.query.get("revision")
        if call.method == "POST":
            if known:
                return 409, known
        elif known is None:
            return 404, {}
        elif expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if call.method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        if known and known["spec"] == data["spec"]:
            return 200, known
        item = self._store(kind, name, data["spec"])
        await self._notify()
        return 200, item

    async def _answer_duty(self, call, writer):
        holder, token = call.headers.get("x-duty-holder"), int(call.headers.get("x-fencing-token", 0))
        self.duties.append((time.monotonic(), call.path, holder, token, call.body.decode()))
        writer.write(encode_response(200, JSON, b"{}"))
