"""Caller keys: the caller holds the key, the catalogue only a salted hash.

A key has the form ``gh_<id>_<secret>``. The front end replaces it by a `Credential`
as soon as the head is parsed, so that events, logs and dumps never hold a key::

    parse_key("gh_k7_s3cret")
    # Credential(key_id='k7', digest='...')

The credential holds an unsalted digest of the random secret; the stored hash is a
digest of the salt and that digest. The key can't be recovered from either.
"""

from hashlib import sha256
from hmac import compare_digest

import attrs

KEY_PREFIX = "gh"
OPAQUE_ID_LENGTH = 16


@attrs.frozen
class Credential:
    """What a caller presented, with a digest in place of the secret."""

    key_id: str
    digest: str = attrs.field(repr=False, metadata={"secret": True})


@attrs.frozen
class KeyRecord:
    """A key as stored in the catalogue."""

    workspace: str
    salt: str = attrs.field(repr=False, metadata={"secret": True})
    hashed: str = attrs.field(repr=False, metadata={"secret": True})

    @classmethod
    def from_secret(cls, workspace: str, salt: str, secret: str) -> "KeyRecord":
        """Return the record for a new key with `secret`."""
        return cls(workspace, salt, _hash_digest(salt, _digest_secret(secret)))

    @classmethod
    def from_opaque(cls, workspace: str, text: str) -> "KeyRecord":
        """Return the record for a key of another issuer, which has no salt."""
        return cls(workspace, "", _hash_digest("", _digest_secret(text)))

    def accepts(self, credential: Credential) -> bool:
        """Return whether `credential` matches this key, in constant time."""
        return compare_digest(self.hashed, _hash_digest(self.salt, credential.digest))


def format_key(key_id: str, secret: str) -> str:
    """Return the key as it is shown to its owner, once."""
    return f"{KEY_PREFIX}_{key_id}_{secret}"


def digest_opaque_key(text: str) -> Credential:
    """Return the credential for a key of another issuer.

    Such a key has no id; the first characters of its digest serve as one.
    """
    digest = _digest_secret(text)
    return Credential(digest[:OPAQUE_ID_LENGTH], digest)


def parse_key(text: str) -> Credential | None:
    """Return the credential for a key, or None if `text` is not a key."""
    parts = text.split("_", 2)
    if len(parts) != 3 or parts[0] != KEY_PREFIX or not parts[1] or not parts[2]:
        return None
    return Credential(parts[1], _digest_secret(parts[2]))


def _digest_secret(secret: str) -> str:
    return sha256(secret.encode()).hexdigest()


def _hash_digest(salt: str, digest: str) -> str:
    return sha256(f"{salt}:{digest}".encode()).hexdigest()
