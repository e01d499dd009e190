"""Weighted fair queueing between the workspaces that wait for one entry.

The next request is that of the workspace whose service, divided by its weight,
is the least. Service is counted in priced tokens: prefill and decode tokens, each
multiplied by its price. A workspace that was idle resumes at the current virtual
time, so that idling earns no credit (start-time fair queueing, Goyal, Vin and
Cheng, 1996).
"""

from collections import deque
from collections.abc import Callable

import attrs

from geraniumhall_core.catalogue import EntryLimits

FAIR_TURN = 4  # each fourth turn goes by the workspaces' service, not by rank


@attrs.define
class RoomQueue:
    """Requests that wait on one host for room at the servers of a service.

    `workspaces` has the workspace of each waiting request, in order of arrival, and
    `placed` the number of requests of each workspace that have got room.
    """

    workspaces: dict[str, str] = attrs.field(factory=dict)
    placed: dict[str, int] = attrs.field(factory=dict)
    turns: int = 0

    def order_requests(self, rank: Callable[[str], float]) -> list[str]:
        """Return the waiting requests, the next one first.

        They go by rank, and by arrival where that is equal. Each fourth turn belongs
        to the oldest request of the workspace that has got room least often, whatever
        its rank, so that no workspace, size or kind of request is left waiting.
        """
        ranked = sorted(self.workspaces, key=rank)
        if ranked and self.turns % FAIR_TURN == FAIR_TURN - 1:
            oldest = min(
                self.workspaces,
                key=lambda name: self.placed.get(self.workspaces[name], 0),
            )
            ranked.remove(oldest)
            ranked.insert(0, oldest)
        return ranked

    def count_placed(self, request_id: str) -> None:
        """Count a request that gets room."""
        workspace = self.workspaces[request_id]
        self.placed[workspace] = self.placed.get(workspace, 0) + 1
        self.turns += 1


@attrs.define
class EntryQueue:
    """Running and waiting requests of one entry on one host.

    `served_tokens` is the service of each workspace divided by its weight.
    `virtual_time` is that of the workspace whose request was dispatched last.
    """

    running: int = 0
    waiting: dict[str, deque[str]] = attrs.field(factory=dict)
    served_tokens: dict[str, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests of all workspaces."""
        return sum(len(queue) for queue in self.waiting.values())

    def is_full(self, limits: EntryLimits) -> bool:
        """Return whether another request could neither run nor wait."""
        if limits.max_queued is None or self.running < limits.max_running:
            return False
        return self.waiting_count >= limits.max_queued

    def add_waiting(self, workspace: str, request_id: str) -> None:
        """Append a request to its workspace's queue."""
        if workspace not in self.waiting:
            self.waiting[workspace] = deque()
            self._raise_to_virtual_time(workspace)
        self.waiting[workspace].append(request_id)

    def pop_next(self) -> str | None:
        """Remove and return the id of the next request, or None without one."""
        if not self.waiting:
            return None
        workspace = min(self.waiting, key=lambda name: (self.served_tokens[name], name))
        self.virtual_time = self.served_tokens[workspace]
        request_id = self.waiting[workspace].popleft()
        self._drop_if_empty(workspace)
        return request_id

    def remove_waiting(self, workspace: str, request_id: str) -> None:
        """Remove a waiting request, if it is still queued."""
        queue = self.waiting.get(workspace)
        if queue and request_id in queue:
            queue.remove(request_id)
            self._drop_if_empty(workspace)

    def charge(self, workspace: str, cost: float, weight: float) -> None:
        """Add `cost` priced tokens to the service of a workspace."""
        self._raise_to_virtual_time(workspace)
        self.served_tokens[workspace] += cost / weight

    def _raise_to_virtual_time(self, workspace: str) -> None:
        known = self.served_tokens.get(workspace, 0.0)
        self.served_tokens[workspace] = max(known, self.virtual_time)

    def _drop_if_empty(self, workspace: str) -> None:
        if not self.waiting[workspace]:
            del self.waiting[workspace]
