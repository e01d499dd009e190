"""What must hold over several hosts, under cuts, pauses and lost replies."""

import unittest
from random import Random

from geraniumhall_bench.virtual import PLATFORM_NAME, VirtualHosts
from geraniumhall_core.admin import DeleteRecord, NotJoined, PlatformResult, WriteRecord
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.handlers.catalogue import is_catalogue_fresh
from geraniumhall_core.keys import KeyRecord, parse_key
from geraniumhall_core.platform import ListedHost, WatchObjects, Written
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.requests import CallerRequest, ModelTarget

SECRET = "s" * 43
KEY = ObjectKey("key", "k1")
STALE_AFTER_SECONDS = 5.0
IN_FORCE_SECONDS = 5.0
JOIN_SECONDS = 8.0


def build_hosts(*names: str, seed: int = 1) -> VirtualHosts:
    """Return joined daemons, three to a failure domain, with a catalogue."""
    hosts = VirtualHosts(Random(seed))
    for index, name in enumerate(names):
        hosts.start(name, failure_domain=f"d{index // 3}")
        hosts.run_for(0.5)
    hosts.run_for(JOIN_SECONDS)
    write(
        hosts, names[0], "workspace", "audit", Workspace(rate=100, burst=9, hosts=names)
    )
    hosts.run_for(1.0)
    entry = CatalogueEntry(
        owner="audit", service_class=ServiceClass.MODEL, repeatable=True
    )
    write(hosts, names[0], "entry", "draft", entry)
    server = BackendServer(
        address="10.0.0.1:80", failure_domain="d0", entries=("draft",)
    )
    write(hosts, names[0], "server", "e1", server)
    write(hosts, names[0], "key", "k1", KeyRecord.from_secret("audit", "salt", SECRET))
    hosts.run_for(JOIN_SECONDS)
    return hosts


def write(hosts: VirtualHosts, via: str, kind: str, name: str, record: object) -> int:
    """Write a new record through a daemon; return the call's number."""
    return hosts.call_admin(via, WriteRecord(ObjectKey(kind, name), record, 0))


def withdraw(hosts: VirtualHosts, via: str) -> int:
    """Withdraw the key through a daemon; return the call's number."""
    version = hosts.platform.objects[KEY].version
    return hosts.call_admin(via, DeleteRecord(KEY, version))


def remove_host(hosts: VirtualHosts, via: str, host: str) -> None:
    """Remove a host's record through a daemon."""
    key = ObjectKey("host", host)
    version = hosts.platform.objects[key].version
    hosts.call_admin(via, DeleteRecord(key, version))


def is_done(hosts: VirtualHosts, call_id: int) -> bool:
    """Tell whether an edit was confirmed to the operator."""
    answer = hosts.admin_answers.get(call_id)
    return isinstance(answer, PlatformResult) and isinstance(answer.answer, Written)


def call(hosts: VirtualHosts, host: str, request_id: str) -> str:
    """Send a request with the key; return what became of it at once."""
    before = len(hosts.started), len(hosts.refused)
    request = CallerRequest(
        request_id=request_id,
        target=ModelTarget("draft"),
        proof=parse_key(f"gh_k1_{SECRET}"),
    )
    hosts.request(host, request)
    if len(hosts.refused) > before[1]:
        return hosts.refused[-1].refusal.code
    return "started" if len(hosts.started) > before[0] else "waiting"


def is_fresh(hosts: VirtualHosts, host: str) -> bool:
    """Tell whether a daemon trusts its catalogue."""
    return is_catalogue_fresh(hosts.daemons[host].state, hosts.now)


class MembershipTest(unittest.TestCase):
    """Daemons find each other and notice who is missing."""

    def test_all_know_all(self) -> None:
        """Nine daemons know eight others each."""
        hosts = build_hosts(*(f"h{n}" for n in range(9)))
        counts = {len(d.state.membership.known) for d in hosts.daemons.values()}
        self.assertEqual(counts, {8})

    def test_two_watchers_for_each_domain(self) -> None:
        """With nine daemons in three domains six watch the platform."""
        hosts = build_hosts(*(f"h{n}" for n in range(9)))
        syncing = [d for d in hosts.daemons.values() if d.state.is_syncing]
        self.assertEqual(len(syncing), 6)

    def test_others_watch_when_the_watchers_are_cut_off(self) -> None:
        """A daemon whose watchers are gone keeps itself fresh."""
        hosts = build_hosts("h0", "h1", "h2", "h3")
        for watcher in ("h0", "h1", "h3"):
            hosts.kill(watcher)
        hosts.run_for(20)
        self.assertTrue(is_fresh(hosts, "h2"))

    def test_edit_needs_all_earlier_daemons(self) -> None:
        """A daemon that has not been heard by all takes no edit."""
        hosts = build_hosts("h0", "h1")
        hosts.kill("h0")
        hosts.start("h2")
        hosts.run_for(20)
        call_id = withdraw(hosts, "h2")
        self.assertEqual(hosts.admin_answers[call_id], NotJoined(("h0",)))


class HousekeepingTest(unittest.TestCase):
    """Hosts that are gone leave the catalogue, and live ones come back."""

    def list_hosts(self, hosts: VirtualHosts, *names: str) -> None:
        """Let the platform list these hosts."""
        hosts.platform.hosts = tuple(ListedHost(name, "d0") for name in names)

    def test_gone_host_is_removed(self) -> None:
        """An outage after the removal does not stop the others."""
        hosts = build_hosts("h0", "h1", "h2")
        hosts.kill("h2")
        self.list_hosts(hosts, "h0", "h1")
        hosts.run_for(90)
        self.assertNotIn("h2", hosts.daemons["h0"].state.catalogue.hosts)
        for host in ("h0", "h1"):
            hosts.cut(host, PLATFORM_NAME)
        hosts.run_for(60)
        self.assertEqual(call(hosts, "h0", "r"), "started")

    def test_host_that_is_heard_stays(self) -> None:
        """The list lags; a host that answers its peers is not gone."""
        hosts = build_hosts("h0", "h1", "h2")
        self.list_hosts(hosts, "h0", "h1")
        hosts.run_for(90)
        logs = [line.event for d in hosts.daemons.values() for line in d.log]
        self.assertNotIn("host_removed", logs)

    def test_empty_list_removes_nobody(self) -> None:
        """A platform that lists nobody is not believed."""
        hosts = build_hosts("h0", "h1", "h2")
        hosts.kill("h2")
        hosts.run_for(90)
        self.assertIn("h2", hosts.daemons["h0"].state.catalogue.hosts)

    def test_removed_host_registers_again(self) -> None:
        """A live daemon whose record was removed comes back by itself."""
        hosts = build_hosts("h0", "h1", "h2")
        remove_host(hosts, "h0", "h2")
        hosts.run_for(10)
        self.assertIn("h2", hosts.daemons["h0"].state.catalogue.hosts)

    def test_removed_host_confirms_no_edit(self) -> None:
        """An edit by a daemon that others no longer wait for is in doubt."""
        hosts = build_hosts("h0", "h1", "h2")
        remove_host(hosts, "h0", "h2")
        hosts.run_for(0.001)
        call_id = withdraw(hosts, "h2")
        hosts.run_for(0.1)
        self.assertFalse(is_done(hosts, call_id))
        hosts.run_for(10)
        self.assertFalse(is_done(hosts, call_id))

    def test_lost_reply_to_a_deletion_is_confirmed_when_applied(self) -> None:
        """A deletion read back is confirmed once this daemon's copy has it."""
        hosts = build_hosts("h0", "h1", "h2")
        for other in ("h1", "h2"):
            hosts.kill(other)
        call_id = withdraw(hosts, "h0")
        hosts.cut(PLATFORM_NAME, "h0", both_ways=False)
        hosts.run_for(0.05)
        hosts.cuts.discard((PLATFORM_NAME, "h0"))
        hosts.delays.append(lambda message: isinstance(message, WatchObjects))
        for _ in range(800):
            hosts.run_for(0.01)
            if is_done(hosts, call_id):
                break
        self.assertTrue(is_done(hosts, call_id))
        self.assertNotIn("k1", hosts.daemons["h0"].state.catalogue.keys)


class FreshnessTest(unittest.TestCase):
    """A withdrawn key stops working within seconds, also behind a cut."""

    def test_edit_is_in_force_everywhere(self) -> None:
        """Nine daemons refuse a withdrawn key within the bound."""
        hosts = build_hosts(*(f"h{n}" for n in range(9)))
        call_id = withdraw(hosts, "h4")
        hosts.run_for(IN_FORCE_SECONDS)
        self.assertTrue(is_done(hosts, call_id))
        for host in hosts.daemons:
            self.assertEqual(call(hosts, host, f"r-{host}"), "key_unknown")

    def test_cut_from_the_platform_peers_relay(self) -> None:
        """A daemon that reaches its peers only learns of the withdrawal."""
        hosts = build_hosts("h0", "h1", "h2")
        hosts.cut("h0", PLATFORM_NAME)
        withdraw(hosts, "h1")
        hosts.run_for(IN_FORCE_SECONDS)
        self.assertEqual(call(hosts, "h0", "r"), "key_unknown")

    def test_cut_from_peers_the_platform_tells(self) -> None:
        """A daemon that reaches the platform only learns of it there."""
        hosts = build_hosts("h0", "h1", "h2")
        hosts.cut("h2", "h0")
        hosts.cut("h2", "h1")
        withdraw(hosts, "h0")
        hosts.run_for(IN_FORCE_SECONDS)
        self.assertEqual(call(hosts, "h2", "r"), "key_unknown")

    def test_cut_from_all_refuses(self) -> None:
        """A daemon that reaches nobody trusts no key after the bound."""
        hosts = build_hosts("h0", "h1", "h2")
        for other in ("h0", "h1", PLATFORM_NAME):
            hosts.cut("h2", other)
        hosts.run_for(STALE_AFTER_SECONDS + 0.1)
        self.assertEqual(call(hosts, "h2", "r"), "catalogue_stale")

    def test_platform_outage_does_not_stop_service(self) -> None:
        """While all daemons hear each other, nothing can have been withdrawn."""
        hosts = build_hosts("h0", "h1", "h2")
        for host in hosts.daemons:
            hosts.cut(host, PLATFORM_NAME)
        hosts.run_for(600)
        self.assertEqual(call(hosts, "h1", "r"), "started")

    def test_outage_with_a_daemon_missing_refuses(self) -> None:
        """The missing daemon may have taken a withdrawal; the rule's cost."""
        hosts = build_hosts("h0", "h1", "h2")
        for host in hosts.daemons:
            hosts.cut(host, PLATFORM_NAME)
        hosts.kill("h2")
        hosts.run_for(STALE_AFTER_SECONDS + 0.5)
        self.assertEqual(call(hosts, "h1", "r"), "catalogue_stale")

    def test_missing_daemon_withdraws_behind_the_cut(self) -> None:
        """Two daemons cut off from a third and the platform trust no key."""
        hosts = build_hosts("h0", "h1", "h2")
        for host in ("h0", "h1"):
            hosts.cut(host, PLATFORM_NAME)
            hosts.cut(host, "h2")
        call_id = withdraw(hosts, "h2")
        hosts.run_for(STALE_AFTER_SECONDS + 0.1)
        self.assertTrue(is_done(hosts, call_id))
        for host in ("h0", "h1"):
            self.assertEqual(call(hosts, host, f"r-{host}"), "catalogue_stale")

    def test_one_way_cut_confirms_nothing(self) -> None:
        """Answers that never arrive keep nothing fresh."""
        hosts = build_hosts("h0", "h1", "h2")
        for other in ("h0", "h1", PLATFORM_NAME):
            hosts.cut(other, "h2", both_ways=False)
        hosts.run_for(STALE_AFTER_SECONDS + 0.1)
        self.assertEqual(call(hosts, "h2", "r"), "catalogue_stale")

    def test_paused_daemon_trusts_no_key_on_waking(self) -> None:
        """What a daemon knew before its pause is too old afterwards."""
        hosts = build_hosts("h0", "h1", "h2")
        hosts.pause("h2")
        withdraw(hosts, "h0")
        hosts.run_for(60)
        hosts.daemons["h2"].is_paused = False
        self.assertEqual(call(hosts, "h2", "r"), "catalogue_stale")

    def test_lost_reply_to_the_withdrawal(self) -> None:
        """A withdrawal whose reply was lost is read back and confirmed."""
        hosts = build_hosts("h0", "h1", "h2")
        call_id = withdraw(hosts, "h0")
        hosts.lost_replies = 1
        hosts.run_for(IN_FORCE_SECONDS)
        self.assertTrue(is_done(hosts, call_id))

    def test_restart_during_an_outage(self) -> None:
        """A daemon that starts while the platform is down learns from a seed."""
        hosts = build_hosts("h0", "h1", "h2")
        for host in hosts.daemons:
            hosts.cut(host, PLATFORM_NAME)
        hosts.kill("h2")
        hosts.start("h2", seeds=("h0",))
        hosts.run_for(10)
        catalogue = hosts.daemons["h2"].state.catalogue
        self.assertIn("draft", catalogue.entries)

    def test_old_copy_gets_deletions_from_a_newer_listing(self) -> None:
        """A peer whose copy began after a deletion passes the deletion on."""
        hosts = build_hosts("h0", "h1")
        hosts.cut("h0", PLATFORM_NAME)
        hosts.cut("h0", "h1")
        withdraw(hosts, "h1")
        hosts.run_for(2)
        hosts.kill("h1")
        hosts.start("h1")
        hosts.run_for(5)
        hosts.cuts.discard(("h0", "h1"))
        hosts.cuts.discard(("h1", "h0"))
        hosts.run_for(5)
        self.assertEqual(call(hosts, "h0", "r"), "key_unknown")
