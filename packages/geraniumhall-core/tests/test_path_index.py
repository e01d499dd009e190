"""Tests of the look-up of entries by path."""

import unittest

from builders import build_service_entry
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from geraniumhall_core.path_index import PathIndex

HOSTS = ("a.example", "b.example")
SEGMENTS = ("", "", "x", "y", "xx", "%2F", "x%20y", "a:b", "..", ".")


def build_paths(**limits: int) -> st.SearchStrategy[str]:
    """Return paths with doubled, leading and trailing slashes, and the root."""
    segments = st.lists(st.sampled_from(SEGMENTS), **limits)
    return segments.map(lambda found: "/" + "/".join(found))


PREFIXES = build_paths(max_size=4).map(
    lambda path: path if path.endswith("/") else path + "/"
)


def find_plainly(routes: dict[tuple[str, str], str], host: str, path: str) -> str:
    """Return the longest prefix of a host that begins the path, or nothing."""
    matching = [key[1] for key in routes if key[0] == host and path.startswith(key[1])]
    return max(matching, key=len, default="")


class LongestPrefixTest(unittest.TestCase):
    """The prefix that is found is the longest that begins the path, as text."""

    # Guards against review/3: a doubled slash hid the longest prefix.
    @seed(20261205)
    @settings(deadline=None, max_examples=300)
    @given(
        routes=st.lists(st.tuples(st.sampled_from(HOSTS), PREFIXES), max_size=8),
        host=st.sampled_from(HOSTS),
        path=build_paths(max_size=6) | st.sampled_from(["", "*", "x", "x/y/"]),
    )
    @example(
        routes=[("a.example", "/x/"), ("a.example", "/x/y/")],
        host="a.example",
        path="/x/y//17",
    )
    @example(
        routes=[
            ("a.example", "/x/"),
            ("a.example", "/x/y/"),
            ("b.example", "/x/y/xx/"),
        ],
        host="a.example",
        path="/x/y//17",
    )
    @example(routes=[("a.example", "/x/")], host="a.example", path="/x//17")
    @example(routes=[("a.example", "/x//")], host="a.example", path="/x/17")
    @example(routes=[("a.example", "/")], host="a.example", path="//")
    def test_agrees_with_a_plain_search(
        self, routes: list[tuple[str, str]], host: str, path: str
    ) -> None:
        """The look-up agrees with a search through all prefixes."""
        names = {key: f"r{number}" for number, key in enumerate(routes)}
        entries = {
            name: build_service_entry(host=key[0], path=key[1])
            for key, name in names.items()
        }
        expected = names.get((host, find_plainly(names, host, path)))
        self.assertEqual(PathIndex.from_entries(entries).find(host, path), expected)

    def test_path_without_a_trailing_slash(self) -> None:
        """Such an entry matches itself and the paths below it only."""
        index = PathIndex.from_entries({"plain": build_service_entry(path="/filings")})
        cases = {"/filings": "plain", "/filings//1": "plain", "/filingsx": None}
        for path, expected in cases.items():
            with self.subTest(path=path):
                self.assertEqual(index.find("", path), expected)

    def test_slashes_beyond_the_longest_prefix_are_not_looked_at(self) -> None:
        """The cost of a look-up does not grow with a caller's path."""

        class CountingDict(dict[tuple[str, str], str]):
            lookups = 0

            def get(self, key: tuple[str, str], default: str | None = None) -> None:
                """Count a look-up that finds nothing."""
                self.lookups += 1

        names = CountingDict({("", "/x/y/"): "r"})
        self.assertIsNone(PathIndex(names, 5).find("", "/x" * 20_000))
        self.assertLessEqual(names.lookups, 5)
