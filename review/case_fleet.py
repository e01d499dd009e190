"""Daemons of the deploy file, replicas, a balancer and clients for the scripts."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from case_http import encode_request, encode_response, read_message, serve

ROOT = Path(__file__).resolve().parents[1]
BOUNDS = {  # of the sheet of lindo-enamel in SYSTEM.md
    "fence_required": True, "revoke_ms": 5000, "drain_ms": 2000, "quota_window_s": 8, "quota_over": 0.1,
    "quota_slack": 140000, "retry_ratio": 0.2, "retry_slack": 54, "grace_s": 8, "report_window_s": 5, "lease_ms": 3000,
}
RESTART_SECONDS = 0.5  # until the platform starts a process again that has ended


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fill in a template's values; it holds no sections."""

    def find(match):
        path, _, form = match[1].partition("|")
        value = fields
        for key in path.split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", find, template)


class Daemon:
    """One machine with the process of the deploy file."""

    def __init__(self, fleet, name, zone, ip):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.ports = [free_port("127.0.0.1"), free_port(ip)]
        self.process = None
        self.misses = 9
        self.starts = 0

    def write_settings(self):
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.ip, "bounds": BOUNDS, "heartbeat_ms": 1200,
            "listen": {"front": self.front, "ready": self.ready}, "port_range": self.ports,
            "platform": {"addr": self.fleet.platform.address}, "cloud": {"addr": self.fleet.platform.duties_address},
        }
        template = (ROOT / self.fleet.role["template"]).read_text()
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(render(template, fields))
        return path

    def start(self):
        path = self.write_settings()
        words = self.fleet.role["run"].replace("/etc/geraniumhall/local.json", str(path)).split()
        env = {"PATH": os.environ["PATH"], "HOME": str(self.fleet.folder), "LANG": "C.UTF-8",
               "PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1", "GERANIUMHALL_BOOT": str(path)}
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([sys.executable if words[0] == "python3" else words[0], *words[1:]],
                                        cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.starts += 1

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.returncode

    async def restart(self, number, grace=8.0):
        """Send a signal, SIGKILL after the grace, and start the process again."""
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(grace):
                await self.wait()
        except TimeoutError:
            self.process.kill()
            await self.wait()
        await asyncio.sleep(RESTART_SECONDS)
        self.start()

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.9):
                host, port = self.ready.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(encode_request("GET", "/readyz", {"Host": "ready", "Connection": "close"}))
                    return (await read_message(reader)).status == 200
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Replica:
    """A replica that answers each request after `work` seconds, and records it."""

    def __init__(self, fleet, service, zone, name, work=0.02):
        self.fleet, self.service, self.zone, self.name, self.work = fleet, service, zone, name, work
        self.state = "ready"

    async def start(self, host="127.0.0.1"):
        self.server, self.address = await serve(self._answer, host)
        self.born = int(time.time() * 1000)

    def entry(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 64,
                "state": self.state, "cold_left_ms": 0, "seq": 0, "born": self.born}

    async def register(self):
        return await self.fleet.platform.write("servers", self.name, self.entry())

    async def _answer(self, call, writer):
        request_id = call.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if call.path == "/health":
            writer.write(encode_response(200, {"X-Instance-Id": self.name}))
            return
        if call.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_response(421, {"X-Instance-Id": self.name, **echo}))
            return
        arrived = time.monotonic()
        self.fleet.note("runs", id=request_id, replica=self.name, service=self.service, target=call.target,
                        tenant=call.headers.get("x-tenant", ""), tokens=call.headers.get("x-token-counts", ""))
        self.fleet.arrivals.append((arrived, request_id, self))
        await asyncio.sleep(self.work)
        stamp = {"X-Server-Stamp": f"{self.name}.{request_id}", **echo}
        if self.state == "draining":
            stamp["Server-Leaving"] = "1"
        writer.write(encode_response(200, stamp, b"answer to " + request_id.encode()))


class Fleet:
    """All processes and stand-ins of one run, and its record."""

    def __init__(self, platform, record):
        self.platform = platform
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["hall"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.daemons, self.clients, self.arrivals, self.sent, self.answers = [], [], [], {}, {}
        self.record = open(record, "w")
        self.begun = time.monotonic()
        self.numbers = 0
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def note(self, event, **fields):
        at = time.monotonic() - self.begun
        self.record.write(f"{at:9.4f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")

    def add_daemons(self, zones, count):
        net = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        for number in range(count):
            zone = zones[number % len(zones)]
            self.daemons.append(Daemon(self, f"front-{zone}-{number // len(zones) + 1}", zone, f"{net}.{number + 10}"))

    async def start_daemons(self):
        for daemon in self.daemons:
            daemon.start()
        self.prober = asyncio.create_task(self._probe())
        async with asyncio.timeout(30):
            while any(daemon.misses for daemon in self.daemons):
                await asyncio.sleep(0.1)

    async def _probe(self):
        while True:
            ready = await asyncio.gather(*(daemon.is_ready() for daemon in self.daemons))
            for daemon, is_ready in zip(self.daemons, ready, strict=True):
                daemon.misses = 0 if is_ready else daemon.misses + 1
            await asyncio.sleep(1.0)

    def choose(self, client):
        """Return the daemon for a new connection of a client, as the platform's entry does."""
        rotation = [d for d in self.daemons if d.misses < 2]
        if len(rotation) < len(self.daemons) / 2:
            rotation = self.daemons
        return min(rotation, key=lambda d: hash((client, d.name)))

    def stop(self):
        for client in self.clients:
            client.close()
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client that keeps its connection, and opens a new one through the balancer."""

    def __init__(self, fleet, name, daemon=None):
        self.fleet, self.name, self.daemon = fleet, name, daemon
        self.reader = self.writer = None
        self.at = None
        fleet.clients.append(self)

    async def send(self, method, target, headers, body=b"", timeout=5.0):
        """Send one request; return status, headers and body, or None without an answer."""
        fleet = self.fleet
        fleet.numbers += 1
        request_id = f"{fleet.numbers:08x}{random.getrandbits(32):08x}"
        head = {"X-Request-Id": request_id, "X-Deadline-Ms": int(timeout * 1000), **headers}
        answer = None
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    self.at = self.daemon or fleet.choose(self.name)
                    host, port = self.at.front.split(":")
                    async with asyncio.timeout(1.0):
                        self.reader, self.writer = await asyncio.open_connection(host, int(port))
                fleet.sent[request_id] = (time.monotonic(), self.at.name, head)
                fleet.note("sent", id=request_id, to=self.at.name, target=target, tokens=head.get("X-Token-Counts", ""))
                self.writer.write(encode_request(method, target, head, body))
                answer = await read_message(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            fleet.note("unanswered", id=request_id, why=type(error).__name__)
            self.close()
            return request_id, None
        fleet.answers[request_id] = answer
        fleet.note("answered", id=request_id, status=answer.status, stamp=answer.headers.get("x-server-stamp", "none"))
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return request_id, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
