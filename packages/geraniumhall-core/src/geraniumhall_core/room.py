"""Room policies: which servers a host counts as having room for its next request.

Hosts learn of each other's work late, so all of them see the same free server. Each
policy is a function registered under the name used in settings. It gets a non-empty
list of servers and returns the names of those that may be chosen, at least one::

    @ROOM_POLICIES.register("emptiest")
    def choose_emptiest(rooms, query):
        return [max(rooms, key=lambda room: room.free).name]
"""

from collections.abc import Callable, Sequence

import attrs

from geraniumhall_core.registry import Registry

PLENTY_FACTOR = 2.0  # free slots for each request that isn't known of
REPORT_DELAY_SECONDS = 0.25  # until most hosts know of a request that one has sent


@attrs.frozen(kw_only=True)
class ServerRoom:
    """What is known of the room at a server.

    `requests` of all hosts are in progress there and `slots` run at once; with zero
    slots it never counts as full. It is closed for `refused_seconds` more, because it
    said that it is full.
    """

    name: str
    requests: float
    slots: int
    refused_seconds: float = 0.0

    @property
    def free(self) -> float:
        """The number of free slots."""
        return max(0.0, self.slots - self.requests)


@attrs.frozen(kw_only=True)
class RoomQuery:
    """How many requests come, in requests a second of all hosts.

    Each takes `answer_seconds`. `draw` is uniform in [0, 1).
    """

    arrivals: float
    answer_seconds: float
    draw: float


RoomPolicy = Callable[[Sequence[ServerRoom], RoomQuery], list[str]]
ROOM_POLICIES: Registry[str, RoomPolicy] = Registry("room policy")


@ROOM_POLICIES.register("unlimited")
def assume_room(rooms: Sequence[ServerRoom], query: RoomQuery) -> list[str]:
    """Count every server as having room: the baseline."""
    return [room.name for room in rooms]


@ROOM_POLICIES.register("drawn_share")
def draw_share(rooms: Sequence[ServerRoom], query: RoomQuery) -> list[str]:
    """Use a server's last free slots with the chance that this host's request fits.

    It answers the load in which many hosts see one free engine. Requests that others
    have sent and this host does not know of yet contend for its slots. If all servers
    together have fewer free slots than twice these, each host uses a server with the
    chance at which its slots suffice, so that none fills what another has just filled.
    A host that draws no server uses one by its share of all free slots (test_overload).
    """
    open_rooms = [room for room in rooms if room.refused_seconds <= 0]
    unknown_seconds = min(REPORT_DELAY_SECONDS, query.answer_seconds)
    contenders = max(1.0, query.arrivals * unknown_seconds)
    free = sum(room.free for room in open_rooms)
    if open_rooms and free >= PLENTY_FACTOR * contenders:
        return [room.name for room in open_rooms if room.free or not room.slots]
    drawn = [
        room.name
        for index, room in enumerate(open_rooms)
        if not room.slots
        or room.free > contenders * ((query.draw + index / len(open_rooms)) % 1.0)
    ]
    if drawn or not open_rooms:
        return drawn or [room.name for room in rooms]
    if not free:
        return [room.name for room in open_rooms]
    return [_draw_by_free_slots(open_rooms, query.draw)]


def _draw_by_free_slots(rooms: Sequence[ServerRoom], draw: float) -> str:
    """Return a server, each with the chance of its share of the free slots."""
    remaining = draw * sum(room.free for room in rooms)
    for room in rooms:
        remaining -= room.free
        if remaining < 0:
            return room.name
    return rooms[-1].name
