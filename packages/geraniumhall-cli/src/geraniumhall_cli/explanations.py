"""Tells a request's story from the logs of the daemons.

Each event of the logs has a narrator, a function registered under the event's
name that puts the line's fields into words::

    @EVENT_FORMATTERS.register("answer_started")
    def format_started(line):
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
EventFormatter = Callable[[Line], str]
EVENT_FORMATTERS: Registry[str, EventFormatter] = Registry("log event")


@attrs.frozen
class TimelineEntry:
    """One line of a story; `after` is in seconds since the first one."""

    after: float
    host: str
    event: str
    story: str


def explain_request(lines: Iterable[str], request: str) -> list[TimelineEntry]:
    """Return what became of a request, and what its host noted meanwhile.

    `request` is the caller's id or the daemon's. The list is empty if no line
    names it.
    """
    entries = list(_read_entries(lines))
    ids = _find_ids(entries, request)
    request_entries = [entry for entry in entries if entry.get("request") in ids]
    if not request_entries:
        return []
    times = [_read_time(entry) for entry in request_entries]
    first, last = min(times), max(times)
    hosts = {entry["host"] for entry in request_entries}
    context_entries = [
        entry
        for entry in entries
        if entry["host"] in hosts
        and "request" not in entry
        and entry["event"] in EVENT_FORMATTERS
        and first - CONTEXT_SECONDS <= _read_time(entry) <= last
    ]
    timeline = sorted([*request_entries, *context_entries], key=_read_time)
    return [
        TimelineEntry(
            after=round(_read_time(entry) - first, 3),
            host=entry["host"],
            event=entry["event"],
            story=_format_event(entry),
        )
        for entry in timeline
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


def _format_event(entry: Line) -> str:
    if entry["event"] in EVENT_FORMATTERS:
        return EVENT_FORMATTERS.find(entry["event"])(entry)
    known = {"time", "level", "event", "host", "request", "caller_id"}
    return ", ".join(f"{name} {entry[name]}" for name in entry if name not in known)


@EVENT_FORMATTERS.register("request_refused")
def format_refused(line: Line) -> str:
    """Tell why a request was turned away."""
    age = line["catalogue_age"]
    return f"refused, {line['code']}: {line['reason']}; the catalogue was {age} s old"


@EVENT_FORMATTERS.register("request_placed")
def format_placed(line: Line) -> str:
    """Tell where a request went and what was known of the server."""
    purpose = " to read its prompt" if line["reads_ahead"] else ""
    return (
        f"sent to {line['server']}{purpose} after {line['waited']} s:"
        f" {line['unread_tokens']} tokens to read behind"
        f" {line['own_waiting']} of this host and {line['foreign_waiting']} of others,"
        f" {line['running']} requests there; first event expected within"
        f" {line['expected']} s"
    )


@EVENT_FORMATTERS.register("prompt_read")
def format_prompt_read(line: Line) -> str:
    """Tell that the prompt was read."""
    return f"{line['server']} had read the prompt"


@EVENT_FORMATTERS.register("answer_started")
def format_started(line: Line) -> str:
    """Tell when the caller got the first part."""
    return f"{line['server']} began to answer, {line['seconds']} s after arrival"


@EVENT_FORMATTERS.register("request_completed")
def format_completed(line: Line) -> str:
    """Tell when the answer was whole."""
    pause = line.get("longest_pause", 0.0)
    return f"whole after {line['seconds']} s; the longest pause took {pause} s"


@EVENT_FORMATTERS.register("attempt_failed")
def format_attempt_failed(line: Line) -> str:
    """Tell why an attempt failed, and whether it may have run."""
    verdict = line["verdict"].replace("_", " ")
    return (
        f"attempt {line['attempt']} at {line['server']} ended,"
        f" {line['outcome']}: {line['reason']}; {verdict}"
    )


@EVENT_FORMATTERS.register("request_failed")
def format_failed(line: Line) -> str:
    """Tell how a request that was accepted was given up."""
    verdict = line["verdict"].replace("_", " ")
    return (
        f"given up after {line['attempts']} attempts,"
        f" {line['code']}: {line['reason']}; {verdict}"
    )


@EVENT_FORMATTERS.register("feed_lost", "feed_recovered", "feed_history_gone")
def format_feed(line: Line) -> str:
    """Tell how a feed of the platform was doing."""
    states = {
        "feed_lost": "could not be followed",
        "feed_recovered": "was followed again",
        "feed_history_gone": "had lost its history and was listed anew",
    }
    reason = f": {line['reason']}" if "reason" in line else ""
    return f"the feed of {line['feed']} {states[line['event']]}{reason}"


@EVENT_FORMATTERS.register("catalogue_applied")
def format_applied(line: Line) -> str:
    """Tell what the host knew from then on."""
    version, servers = line["configuration"], line["servers"]
    return f"configuration {version} in force, {servers} servers known"


@EVENT_FORMATTERS.register("drain_started", "settings_changed", "listening", "stopped")
def format_process(line: Line) -> str:
    """Tell what the process itself did."""
    return line["event"].replace("_", " ")
