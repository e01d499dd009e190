"""Revisions of the platform's store, which stay comparable after a rewind.

The store numbers its changes. If it comes back from an older copy, its numbers go
back and are given out again, and its era rises by one. A number alone therefore does
not tell which of two versions is newer; the pair of era and number does.
"""

import attrs


@attrs.frozen(order=True)
class Revision:
    """A point in the store's history: its era, and the number within the era.

    A store that states no era is in era zero. Number zero is before all changes::

        Revision(era=1, number=5) > Revision(era=0, number=900)
    """

    era: int = 0
    number: int = 0

    def advance(self) -> "Revision":
        """Return the next revision of the same era."""
        return Revision(self.era, self.number + 1)


NO_REVISION = Revision()
