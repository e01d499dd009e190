"""Time the look-up of an entry by path, with few and with many routes."""

from timeit import repeat

from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    Catalogue,
    CatalogueEntry,
    Configuration,
    ServiceClass,
    apply_changes,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.revisions import Revision

ROUTE_COUNTS = (10, 1_000, 10_000)
LOOKUPS_PER_ROUND = 20
ROUNDS = 5
MICROSECONDS_PER_SECOND = 1e6
HOST = "a.example"
PATHS = {
    "a route's path": "/route-3/orders/17",
    "no route": "/nowhere/orders/17",
    "8,000 segments": "/route-3" + "/x" * 8_000,
    "16,000 slashes": "/route-3" + "/" * 16_000,
}


@BENCHMARKS.register("routes")
def compare_route_counts() -> None:
    """Print the time of a look-up for each number of routes and kind of path."""
    for count in ROUTE_COUNTS:
        catalogue = build_catalogue(count)
        for name, path in PATHS.items():
            microseconds = time_lookup(catalogue, path)
            print(f"{count:6} routes, {name}: {microseconds:.2f} us")


def build_catalogue(count: int) -> Catalogue:
    """Return a catalogue with `count` routes of one virtual host."""
    entries = {
        f"r{number}": CatalogueEntry(
            owner="",
            service_class=ServiceClass.SERVICE,
            shared=True,
            host=HOST,
            path=f"/route-{number}/",
        )
        for number in range(count)
    }
    catalogue = Catalogue()
    configuration = Configuration(version=1, entries=entries)
    item = VersionedRecord(CONFIGURATION_KEY, Revision(number=1), configuration)
    apply_changes(catalogue, [item])
    return catalogue


def time_lookup(catalogue: Catalogue, path: str) -> float:
    """Return the time of a look-up in microseconds, the shortest of all rounds."""
    rounds = repeat(
        lambda: catalogue.find_entry_by_path(HOST, path),
        number=LOOKUPS_PER_ROUND,
        repeat=ROUNDS,
    )
    return min(rounds) / LOOKUPS_PER_ROUND * MICROSECONDS_PER_SECOND
