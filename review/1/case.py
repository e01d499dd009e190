"""A configuration adds a route for all paths of a host; its callers ask for paths of status pages."""

import asyncio
import os
import sys

from case_fleet import Client, Fleet, Replica
from case_load import HOST, build_configuration, build_headers
from case_platform import Platform

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_SECONDS = 2.0
ROUNDS = 10
FIRST_TARGETS = ("/lohu930/2f", "/lohu930/status")
ADDED_TARGETS = ("/orders/17", "/healthz", "/readyz", "/metrics")


async def main(record):
    platform = Platform()
    await platform.start("127.0.0.1")
    fleet = Fleet(platform, record)
    try:
        for number, service in enumerate(("huvo11a", "wuno96b", "wuno96b")):
            replica = Replica(fleet, service, f"kgn-{'abc'[number]}", f"i-{number}")
            await replica.start()
            await replica.register()
        configuration = build_configuration("huvo11a")
        configuration["services"].append({**configuration["services"][0], "name": "wuno96b"})
        await platform.write("config", "main", configuration)
        fleet.add_daemons(["kgn-a", "kgn-b", "kgn-c", "kgn-d"], 4)
        await fleet.start_daemons()
        clients = [Client(fleet, f"client-{n}") for n in range(8)]
        targets = FIRST_TARGETS
        await ask(clients, targets)
        if TROUBLE:
            added = {**configuration["routes"][0], "name": "r-kiln", "path_prefix": "/", "service": "wuno96b",
                     "kind": "non_idempotent", "max_attempts": 1}
            newer = {**configuration, "version": 9, "routes": [*configuration["routes"], added]}
            await platform.write("config", "main", newer)
            fleet.note("config-change", adds=f"{HOST}/ -> wuno96b")
            targets = (*FIRST_TARGETS, *ADDED_TARGETS)
        await asyncio.sleep(APPLY_SECONDS + 1.0)
        answers = await ask(clients, targets)
        arrived = {request_id for _, request_id, _ in fleet.arrivals}
        false = [(target, request_id) for target, request_id, answer in answers
                 if answer and 200 <= answer.status < 300 and "x-server-stamp" not in answer.headers]
        lost = [request_id for _, request_id in false if request_id not in arrived]
        served = sum(1 for _, _, answer in answers if answer and "x-server-stamp" in answer.headers)
        verdict = (f"{len(answers)} requests, {served} answers with a stamp; {len(false)} successes without one "
                   f"at {sorted({target for target, _ in false})}, of which {len(lost)} reached no replica")
        fleet.note("verdict", text=verdict)
        print(verdict)
        return 1 if false else 0 if served == len(answers) else 2
    finally:
        fleet.stop()


async def ask(clients, targets):
    answers = []
    for _ in range(ROUNDS):
        for client in clients:
            for target in targets:
                request_id, answer = await client.send("POST", target, build_headers(), b"kiln slot 4")
                answers.append((target, request_id, answer))
    return answers


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1])))
