"""Confirms this host's copies by the word of a reader, and answers such questions.

A follower asks the readers of its failure domain in turn. One that gives no useful
answers for a while is replaced by the next in rank, which becomes a reader by being
asked. No answer is needed for safety: a copy that nobody proves only grows old.
"""

from collections.abc import Iterator

import attrs

from geraniumhall_core.copies import (
    CopyAnswer,
    CopyProof,
    CopyQuery,
    HeldCopy,
    SentQuery,
)
from geraniumhall_core.effects import LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.confirmations import (
    RELAYED_FEEDS,
    compute_own_read_age,
    is_reader,
    list_readers,
)
from geraniumhall_core.handlers.feeds import (
    apply_relayed,
    lacks_configuration,
    resume_feeds,
)
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState

CHOOSE_SECONDS = 0.5
ASK_SECONDS = 0.5
ANSWER_SECONDS = 0.25  # after which the next reader is asked
FORGET_SECONDS = 3.0  # after which an answer is of no use
READER_HOLD_SECONDS = 3.0  # a host that was asked reads the store for so long
MAX_MISSED = 3  # useless questions in a row
SUSPECT_SECONDS = 5.0


def confirm_copies(state: DaemonState, now: float) -> Iterator[Effect]:
    """Ask a reader if this host follows, and read from the store what is unproven."""
    if state.confirmation_plan.readers is not None:
        _expire_queries(state, now)
        yield from _choose_readers(state, now)
        yield from _ask_reader(state, now)
    yield from resume_feeds(state, now)


@PEER_MESSAGE_HANDLERS.register(CopyQuery)
def answer_query(
    state: DaemonState, event: PeerMessageReceived, message: CopyQuery
) -> Iterator[Effect]:
    """Answer with the age of this host's copies, and become a reader for a while."""
    if state.confirmation_plan.readers is None:
        return
    state.relay.asked_until = event.at + READER_HOLD_SECONDS
    state.counters["copies.answered"] += 1
    proofs = [_prove_copy(state, held, event.at) for held in message.copies]
    answer = CopyAnswer(
        host=state.policy.host,
        incarnation=message.incarnation,
        number=message.number,
        proofs=tuple(proof for proof in proofs if proof is not None),
    )
    yield SendToPeers(addresses=(message.address,), message=answer)


@PEER_MESSAGE_HANDLERS.register(CopyAnswer)
def handle_answer(
    state: DaemonState, event: PeerMessageReceived, message: CopyAnswer
) -> Iterator[Effect]:
    """Confirm the copies that a reader proves, as of when it was asked."""
    relay = state.relay
    if message.incarnation != state.policy.incarnation:
        return
    query = relay.queries.pop(message.number, None)
    if query is None or query.host != message.host:
        return
    relay.overdue.discard(message.number)
    for proof in message.proofs:
        yield from _apply_proof(state, proof, event.at, query.sent_at)
    if any(_is_useful(state, proof) for proof in message.proofs):
        relay.missed.pop(message.host, None)
        state.counters["copies.confirmed"] += 1
    else:
        _suspect(state, message.host, event.at)


def _choose_readers(state: DaemonState, now: float) -> Iterator[Effect]:
    """Choose the readers again when that is due, and log it if they change."""
    relay = state.relay
    if now < relay.choose_at or not state.all_feeds_synced:
        return
    relay.choose_at = now + CHOOSE_SECONDS
    readers = list_readers(state, now)
    if readers == relay.readers:
        return
    relay.readers = readers
    age = round(state.compute_catalogue_age(now), 3)
    fields = (LogField("readers", ", ".join(readers)), LogField("age", age))
    yield WriteLog(level="info", event="readers_chosen", fields=fields)


def _ask_reader(state: DaemonState, now: float) -> Iterator[Effect]:
    """Ask the next reader, also as a reader that does not reach the store itself."""
    relay = state.relay
    readers = relay.readers
    is_failing = bool(state.feeds[Feed.CONFIGURATION].failures)
    readers = tuple(name for name in readers if name != state.policy.host)
    if now < relay.ask_at or not readers:
        return
    if is_reader(state, now) and not is_failing:
        return
    relay.ask_at = now + ASK_SECONDS
    relay.number += 1
    name = readers[relay.number % len(readers)]
    known = state.hosts.known.get(name)
    if known is None:
        return
    relay.queries[relay.number] = SentQuery(name, now)
    state.counters["copies.asked"] += 1
    query = CopyQuery(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        address=state.policy.peer_address,
        number=relay.number,
        copies=tuple(
            HeldCopy(feed, state.feeds[feed].revision) for feed in RELAYED_FEEDS
        ),
    )
    yield SendToPeers(addresses=(known.record.peer_address,), message=query)


def _expire_queries(state: DaemonState, now: float) -> None:
    """Ask another reader at once after a question without an answer."""
    relay = state.relay
    for number, query in list(relay.queries.items()):
        if now - query.sent_at > FORGET_SECONDS:
            del relay.queries[number]
            relay.overdue.discard(number)
        elif now - query.sent_at > ANSWER_SECONDS and number not in relay.overdue:
            relay.overdue.add(number)
            relay.ask_at = now
            _suspect(state, query.host, now)


def _suspect(state: DaemonState, host: str, now: float) -> None:
    """Count a useless question; leave a host out after some of them.

    Once it is asked again, one more is enough, until it gives a useful answer.
    """
    relay = state.relay
    state.counters["copies.missed"] += 1
    relay.missed[host] = relay.missed.get(host, 0) + 1
    if relay.missed[host] >= MAX_MISSED:
        relay.missed[host] = MAX_MISSED - 1
        relay.suspects[host] = now + SUSPECT_SECONDS
        relay.choose_at = now


def _prove_copy(state: DaemonState, held: HeldCopy, now: float) -> CopyProof | None:
    """Return what this host knows of a feed, None if it vouches for nothing.

    Changes of servers that are deferred after an outage are not known to last, so the
    follower has to decide on them by what it reads itself.
    """
    feed = state.feeds[held.feed]
    deferred = state.deferred
    is_deferring = bool(deferred.deletions) or now < deferred.until
    if not feed.has_synced or not feed.revision.number:
        return None
    if held.feed is Feed.SERVERS and is_deferring:
        return None
    log = state.relay.get_log(held.feed)
    revision = feed.revision
    proof = CopyProof(
        feed=held.feed,
        revision=revision,
        changed_at=log.changed_at,
        age=max(0.0, now - feed.confirmed_at),
        after=revision,
    )
    batch = log.collect(held.revision)
    if batch is None or held.revision >= log.changed_at:
        return proof
    return attrs.evolve(proof, after=batch.after, changes=batch.changes)


def _apply_proof(
    state: DaemonState, proof: CopyProof, now: float, asked_at: float
) -> Iterator[Effect]:
    """Bring this host's copy to that of the reader, and date it by the proof.

    A copy that has every change that the reader knows of is as current as the reader's.
    One that the reader can't bring there is to be read from the store.
    """
    feed = state.feeds[proof.feed]
    if not feed.has_synced:
        return
    held = feed.revision
    is_same_era = held.era == proof.revision.era
    is_current = is_same_era and held >= proof.changed_at
    if is_same_era and not is_current and proof.changes and held >= proof.after:
        changes = Changes(proof.revision, proof.changes)
        state.counters["copies.relayed_changes"] += len(proof.changes)
        yield from apply_relayed(state, proof.feed, changes, now)
        is_current = True
    if not is_current:
        if proof.revision > held:
            state.relay.differing.add(proof.feed)
        return
    state.relay.differing.discard(proof.feed)
    feed.revision = max(feed.revision, proof.revision)
    confirmed_at = asked_at - proof.age
    if not lacks_configuration(state, proof.feed):
        feed.confirmed_at = max(feed.confirmed_at, confirmed_at)
    # The store was up then, so registrations of servers could be renewed.
    state.platform_contact_at = max(state.platform_contact_at, confirmed_at)


def _is_useful(state: DaemonState, proof: CopyProof) -> bool:
    """Return whether a proof is fresh enough for this host to stay ready by it."""
    is_fresh = proof.age <= compute_own_read_age(state, proof.feed)
    return is_fresh and proof.feed is Feed.CONFIGURATION
