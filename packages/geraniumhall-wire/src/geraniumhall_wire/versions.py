"""Versions of records as the admin API writes them: one number each.

In era zero it is the store's own number. Each later era begins at a higher number than
all versions of the one before it, so versions keep their order.
"""

from geraniumhall_core.revisions import Revision

NUMBERS_PER_ERA = 1 << 40


def encode_version(revision: Revision) -> int:
    """Return the number that stands for a revision."""
    return revision.era * NUMBERS_PER_ERA + revision.number


def decode_version(version: int) -> Revision:
    """Return the revision that a number stands for."""
    return Revision(*divmod(version, NUMBERS_PER_ERA))
