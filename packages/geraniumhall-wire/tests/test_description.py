"""Tests of typed values as plain data."""

import unittest
from json import dumps

from geraniumhall_core.records import ObjectKey
from geraniumhall_wire.description import describe


class DescribeTest(unittest.TestCase):
    """Each value of the state can be described, in a fixed order."""

    def test_set_of_objects(self) -> None:
        """Guards against a dump of the state that ends the process after a rewind."""
        keys = frozenset(ObjectKey("server", name) for name in ("e2", "e1", "e3"))
        names = [item["name"] for item in describe(keys)]
        self.assertEqual(names, ["e1", "e2", "e3"])

    def test_set_of_mixed_values(self) -> None:
        """Values that have no order among them are described too."""
        described = describe({"a", None, 2, ObjectKey("server", "e1")})
        self.assertEqual(len(described), 4)
        dumps(described)


if __name__ == "__main__":
    unittest.main()
