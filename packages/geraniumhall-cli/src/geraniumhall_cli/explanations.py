"""Build the timeline of a request from the daemons' logs.

Each log event has a formatter, a function registered under the event's name
that turns a line's fields into text::

    @EVENT_FORMATTERS.register("answer_started")
    def format_started(line):
        return f"{line['server']} started the response"
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from json import JSONDecodeError, loads
from typing import Any

import attrs

from geraniumhall_core.registry import Registry

CONTEXT_SECONDS = 2.0  # host events up to this long before the request are included

Line = dict[str, Any]
EventFormatter = Callable[[Line], str]
EVENT_FORMATTERS: Registry[str, EventFormatter] = Registry("log event")


@attrs.frozen
class TimelineEntry:
    """One event of a timeline.

    `after` is in seconds since the request's first event, `story` is the text.
    """

    after: float
    host: str
    event: str
    story: str


def explain_request(lines: Iterable[str], request: str) -> list[TimelineEntry]:
    """Return a request's events, and its hosts' events of the same period.

    `request` is the id that the caller or the daemon gave to the request. The
    list is empty if no line mentions it.
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
    """Yield the structured lines; log collectors may prepend text to them."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            entry = loads(brace + rest)
        except JSONDecodeError:
            continue
        if isinstance(entry, dict) and {"time", "event", "host"} <= entry.keys():
            yield entry


def _find_ids(entries: list[Line], request: str) -> set[str]:
    """Return the daemons' ids of a request; an id of a caller may match several."""
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
    """Format why a request was refused."""
    age = line["catalogue_age"]
    return f"refused, {line['code']}: {line['reason']}; catalogue age {age} s"


@EVENT_FORMATTERS.register("admission_decided")
def format_admission(line: Line) -> str:
    """Format why a request waited for room or was refused for lack of it."""
    decided = "waits for room" if line["outcome"] == "wait" else "refused, no room"
    return (
        f"{decided}: room in {line['room_in']} s, the first event {line['first_in']} s"
        f" and the last {line['last_in']} s after it is sent, {line['time_left']} s"
        f" left; {line['running']} requests run on {line['server']}, by the reports of"
        f" {line['reporting_hosts']} of {line['other_hosts']} other hosts"
    )


@EVENT_FORMATTERS.register("crash_attributed")
def format_crash(line: Line) -> str:
    """Format which parts of the prompt a crash is held against."""
    return (
        f"{line['server']} ended as the answer was about to begin;"
        f" suspected parts and their crashes: {line['suspects']}"
    )


@EVENT_FORMATTERS.register("part_held")
def format_hold(line: Line) -> str:
    """Format that a part of prompts is held, and on what evidence."""
    until = f"for {line['seconds']} s" if line["seconds"] else "until it is released"
    return (
        f"part {line['part']} is held {until} ({line['reason']}, known from"
        f" {line['learned_from']}); servers that ended under it: {line['crashes']},"
        f" the first {line['evidence_age']} s before"
    )


@EVENT_FORMATTERS.register("part_released")
def format_release(line: Line) -> str:
    """Format that a part of prompts is no longer held."""
    return f"part {line['part']} was released, known from {line['learned_from']}"


@EVENT_FORMATTERS.register(
    "server_limit_learned", "server_limit_changed", "server_limit_ended"
)
def format_limit(line: Line) -> str:
    """Format a server's limit, with the host that saw it."""
    if line["limit"] == "none":
        change = "names no limit any more"
    else:
        change = f"takes {line['limit']} requests a second of all hosts"
    return (
        f"{line['server']} {change}, before: {line['before']}; seen by"
        f" {line['seen_by']}, known from {line['learned_from']}, {line['age']} s old"
    )


@EVENT_FORMATTERS.register("server_leaving")
def format_leaving(line: Line) -> str:
    """Format that a server leaves."""
    return f"{line['server']} is leaving, known from {line['learned_from']}"


@EVENT_FORMATTERS.register("server_closed")
def format_closed(line: Line) -> str:
    """Format that a server wants no request of the host for a time."""
    return f"{line['server']} wants nothing of this host for {line['seconds']} s"


@EVENT_FORMATTERS.register("request_placed")
def format_placed(line: Line) -> str:
    """Format where a request was sent, and the known load of that server."""
    purpose = " for prefill only" if line["reads_ahead"] else ""
    return (
        f"sent to {line['server']}{purpose} after {line['waited']} s:"
        f" {line['unread_tokens']} prompt tokens to prefill, queued behind"
        f" {line['own_waiting']} of this host and {line['foreign_waiting']} of others"
        f"{_format_reporters(line)},"
        f" {line['running']} requests running; first event expected within"
        f" {line['expected']} s{_format_kept(line)}{_format_speed(line)}"
    )


def _format_kept(line: Line) -> str:
    """Return what the engine keeps of the prompt, if the line says so."""
    if not line.get("kept_tokens"):
        return ""
    source = line.get("fetches_from")
    fetched = f" after a fetch from {source}" if source else ""
    copy = (
        f", another copy priced at {line['copy_price']} s" if line["copy_price"] else ""
    )
    return f"; keeps {line['kept_tokens']} tokens{fetched}{copy}"


def _format_speed(line: Line) -> str:
    """Return the speed of an engine that differs from the usual one."""
    speeds = (line.get("read_speed", 1.0), line.get("decode_speed", 1.0))
    failing = line.get("failing", 0.0)
    if speeds == (1.0, 1.0) and not failing:
        return ""
    return (
        f"; {speeds[0]} times as fast in prefill and {speeds[1]} in decode as usual,"
        f" fails {failing} of its requests"
    )


def _format_reporters(line: Line) -> str:
    """Return how many hosts the work of others is known from, if the line says so."""
    if "reporting_hosts" not in line:
        return ""
    return f" (reported by {line['reporting_hosts']} of {line['other_hosts']} hosts)"


@EVENT_FORMATTERS.register("prompt_read")
def format_prompt_read(line: Line) -> str:
    """Format the end of the prefill."""
    return f"{line['server']} finished the prefill"


@EVENT_FORMATTERS.register("answer_started")
def format_started(line: Line) -> str:
    """Format the time to the start of the response."""
    return f"{line['server']} started the response {line['seconds']} s after arrival"


@EVENT_FORMATTERS.register("request_completed")
def format_completed(line: Line) -> str:
    """Format the total time and the longest pause within the response."""
    pause = line.get("longest_pause", 0.0)
    return f"completed after {line['seconds']} s; longest pause {pause} s"


@EVENT_FORMATTERS.register("attempt_failed")
def format_attempt_failed(line: Line) -> str:
    """Format why an attempt failed, and whether it may have run."""
    verdict = line["verdict"].replace("_", " ")
    return (
        f"attempt {line['attempt']} on {line['server']} failed,"
        f" {line['outcome']}: {line['reason']}; {verdict}"
    )


@EVENT_FORMATTERS.register("request_failed")
def format_failed(line: Line) -> str:
    """Format why an accepted request failed."""
    verdict = line["verdict"].replace("_", " ")
    return (
        f"failed after {line['attempts']} attempts,"
        f" {line['code']}: {line['reason']}; {verdict}"
    )


@EVENT_FORMATTERS.register("feed_lost", "feed_recovered", "feed_history_gone")
def format_feed(line: Line) -> str:
    """Format a change in the state of a platform feed."""
    states = {
        "feed_lost": "was lost",
        "feed_recovered": "recovered",
        "feed_history_gone": "had dropped its history and was listed again",
    }
    reason = f": {line['reason']}" if "reason" in line else ""
    return f"the feed {line['feed']} {states[line['event']]}{reason}"


@EVENT_FORMATTERS.register("catalogue_applied")
def format_applied(line: Line) -> str:
    """Format the configuration and servers that the host applied."""
    version, servers = line["configuration"], line["servers"]
    return f"configuration {version} applied, {servers} servers known"


@EVENT_FORMATTERS.register(
    "drain_started", "drain_timed_out", "settings_changed", "listening", "stopped"
)
def format_process(line: Line) -> str:
    """Format an event of the daemon process."""
    return line["event"].replace("_", " ")
