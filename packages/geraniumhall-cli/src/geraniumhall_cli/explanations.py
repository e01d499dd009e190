"""Tells a request's story from the logs of the daemons.

Each event of the logs has a narrator, a function registered under the event's
name that puts the line's fields into words::

    @NARRATORS.register("answer_started")
    def tell_started(line):
        return f"{line['server']} began to answer"
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from json import JSONDecodeError, loads
from typing import Any

import attrs

from geraniumhall_core.registry import Registry

CONTEXT_SECONDS = 2.0

Line = dict[str, Any]
Narrator = Callable[[Line], str]
NARRATORS: Registry[str, Narrator] = Registry("log event")


@attrs.frozen
class StoryLine:
    """One line of a story; `after` is in seconds since the first one."""

    after: float
    host: str
    event: str
    story: str


def explain_request(lines: Iterable[str], request: str) -> list[StoryLine]:
    """Return what became of a request, and what its host noted meanwhile.

    `request` is the caller's id or the daemon's. The list is empty if no line
    names it.
    """
    entries = list(_read_entries(lines))
    ids = _find_ids(entries, request)
    own = [entry for entry in entries if entry.get("request") in ids]
    if not own:
        return []
    times = [_read_time(entry) for entry in own]
    first, last = min(times), max(times)
    hosts = {entry["host"] for entry in own}
    around = [
        entry
        for entry in entries
        if entry["host"] in hosts
        and "request" not in entry
        and entry["event"] in NARRATORS
        and first - CONTEXT_SECONDS <= _read_time(entry) <= last
    ]
    story = sorted([*own, *around], key=_read_time)
    return [
        StoryLine(
            after=round(_read_time(entry) - first, 3),
            host=entry["host"],
            event=entry["event"],
            story=_narrate(entry),
        )
        for entry in story
    ]


def _read_entries(lines: Iterable[str]) -> Iterator[Line]:
    """Return the structured lines; a collector may have put text before them."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            entry = loads(brace + rest)
        except JSONDecodeError:
            continue
        if isinstance(entry, dict) and {"time", "event", "host"} <= entry.keys():
            yield entry


def _find_ids(entries: list[Line], request: str) -> set[str]:
    """Return the daemons' ids of a request; a caller's id may have several."""
    named = (e for e in entries if request in (e.get("caller_id"), e.get("request")))
    return {entry["request"] for entry in named if "request" in entry}


def _read_time(entry: Line) -> float:
    return datetime.fromisoformat(entry["time"]).timestamp()


def _narrate(entry: Line) -> str:
    if entry["event"] in NARRATORS:
        return NARRATORS.find(entry["event"])(entry)
    known = {"time", "level", "event", "host", "request", "caller_id"}
    return ", ".join(f"{name} {entry[name]}" for name in entry if name not in known)


@NARRATORS.register("request_refused")
def tell_refused(line: Line) -> str:
    """Tell why a request was turned away."""
    age = line["catalogue_age"]
    return f"refused, {line['code']}: {line['reason']}; the catalogue was {age} s old"


@NARRATORS.register("request_placed")
def tell_placed(line: Line) -> str:
    """Tell where a request went and what was known of the server."""
    purpose = " to read its prompt" if line["reads_ahead"] else ""
    return (
        f"sent to {line['server']}{purpose} after {line['waited']} s:"
        f" {line['unread_tokens']} tokens to read behind"
        f" {line['own_waiting']} of this host and {line['foreign_waiting']} of others,"
        f" {line['running']} requests there; first event expected within"
        f" {line['expected']} s"
    )


@NARRATORS.register("prompt_read")
def tell_prompt_read(line: Line) -> str:
    """Tell that the prompt was read."""
    return f"{line['server']} had read the prompt"


@NARRATORS.register("answer_started")
def tell_started(line: Line) -> str:
    """Tell when the caller got the first part."""
    return f"{line['server']} began to answer, {line['seconds']} s after arrival"


@NARRATORS.register("request_completed")
def tell_completed(line: Line) -> str:
    """Tell when the answer was whole."""
    pause = line.get("longest_pause", 0.0)
    return f"whole after {line['seconds']} s; the longest pause took {pause} s"


@NARRATORS.register("attempt_failed")
def tell_attempt_failed(line: Line) -> str:
    """Tell why an attempt failed, and whether it may have run."""
    ran = line["verdict"].replace("_", " ")
    return (
        f"attempt {line['attempt']} at {line['server']} ended,"
        f" {line['outcome']}: {line['reason']}; {ran}"
    )


@NARRATORS.register("request_failed")
def tell_failed(line: Line) -> str:
    """Tell how a request that was accepted was given up."""
    ran = line["verdict"].replace("_", " ")
    return (
        f"given up after {line['attempts']} attempts,"
        f" {line['code']}: {line['reason']}; {ran}"
    )


@NARRATORS.register("feed_lost", "feed_recovered", "feed_history_gone")
def tell_feed(line: Line) -> str:
    """Tell how a feed of the platform was doing."""
    states = {
        "feed_lost": "could not be followed",
        "feed_recovered": "was followed again",
        "feed_history_gone": "had lost its history and was listed anew",
    }
    reason = f": {line['reason']}" if "reason" in line else ""
    return f"the feed of {line['feed']} {states[line['event']]}{reason}"


@NARRATORS.register("catalogue_applied")
def tell_applied(line: Line) -> str:
    """Tell what the host knew from then on."""
    version, servers = line["configuration"], line["servers"]
    return f"configuration {version} in force, {servers} servers known"


@NARRATORS.register("drain_started", "settings_changed", "listening", "stopped")
def tell_process(line: Line) -> str:
    """Tell what the process itself did."""
    return line["event"].replace("_", " ")
