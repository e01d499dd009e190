"""Stand-ins of the platform: the metadata store and the API for duties."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from kit2 import http

PREFIX = "/geraniumhall/objects/"
JSON = [("Content-Type", "application/json")]


class Store:
    """The metadata store: linearizable, with one revision and its whole history."""

    def __init__(self):
        self.revision = 1
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, object, tombstone)
        self.changed = asyncio.Condition()
        self.server = None
        self.address = ""

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        """Write an object as the operator or a replica does; return its revision."""
        return (await self._write(kind, name, spec))["metadata"]["revision"]

    async def remove(self, kind, name):
        """Delete an object as the operator or a replica does."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            await self._record(kind, known, True)

    async def _write(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and _is_unchanged(kind, known["spec"], spec):
            return known
        created = known["metadata"]["created"] if known else self.revision + 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision + 1,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        await self._record(kind, item, False)
        return item

    async def _record(self, kind, item, tombstone):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        copy = json.loads(json.dumps(item))
        self.history.append((self.revision, kind, copy, tombstone))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (head := await http.read_head(reader)) is not None:
                body = await http.read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, data = await self._answer(method, target, body)
                writer.write(
                    http.build_response(status, JSON, json.dumps(data).encode())
                )
                await writer.drain()
        except (http.BrokenMessage, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if method == "GET":
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {
                "items": items,
                "more_pages": False,
                "current_rev": self.revision,
            }
        if method == "DELETE":
            return await self._delete(kind, name, query.get("revision"))
        data = json.loads(body)
        name = data["metadata"]["name"]
        known = self.objects.get((kind, name))
        expected = data["metadata"].get("revision")
        if method == "POST":
            if known is not None:
                return 409, known
        elif known is None:
            return 404, {}
        elif expected is not None and expected != known["metadata"]["revision"]:
            return 409, known
        return 200, await self._write(kind, name, data["spec"])

    async def _delete(self, kind, name, expected):
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        await self.remove(kind, name)
        return 200, {}

    async def _watch(self, kind, after, wait_ms):
        def collect():
            return [
                {"object": item, "tombstone": tombstone}
                for revision, changed, item, tombstone in self.history
                if revision > after and changed == kind
            ]

        try:
            async with asyncio.timeout(wait_ms / 1000):
                async with self.changed:
                    await self.changed.wait_for(collect)
        except TimeoutError:
            pass
        return 200, {"events": collect(), "current_rev": self.revision}


def _is_unchanged(kind, old, new):
    """Return whether a write changes nothing; heartbeats only change `seq`."""
    if kind == "servers":
        old, new = {**old, "seq": 0}, {**new, "seq": 0}
    return old == new


class Cloud:
    """The platform's API for duties; it checks fencing tokens."""

    def __init__(self):
        self.highest = {}
        self.usage = {}  # window -> set of reported counts, as text
        self.calls = []
        self.ordered_at = (
            None  # the latest order that was answered, on the loop's clock
        )
        self.down_until = 0.0  # on the loop's clock; calls get no answer until then
        self.silent = asyncio.Event()  # set by an order that gets no answer
        self.server = None
        self.address = ""

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (head := await http.read_head(reader)) is not None:
                body = await http.read_body(reader, head[1])
                _, target, _ = head[0].split(" ")
                if asyncio.get_running_loop().time() < self.down_until:
                    if target == "/scale":
                        self.silent.set()
                    await reader.read(-1)  # until the caller gives up
                    return
                status = self._accept(target, head[1], json.loads(body))
                writer.write(http.build_response(status, JSON, b"{}"))
                await writer.drain()
        except (http.BrokenMessage, OSError):
            pass
        finally:
            writer.close()

    def _accept(self, target, headers, data):
        token = int(http.find(headers, "x-fencing-token", "0"))
        holder = http.find(headers, "x-duty-holder", "")
        subject = target
        if target == "/scale":
            self.ordered_at = asyncio.get_running_loop().time()
            subject = f"{target} {data['service']} {data['zone']}"
        self.calls.append((holder, token, subject, data))
        if token < self.highest.get(subject, 0):
            return 409
        self.highest[subject] = token
        if target == "/usage":
            counts = json.dumps(data["counts"], sort_keys=True)
            self.usage.setdefault(data["window_id"], set()).add(counts)
        return 200
