"""Hashing of the API keys of teams and operators; only the hashes are stored."""

import hashlib

from tamarackmount.ids import KeyHash


def hash_key(key: str) -> KeyHash:
    """Return the SHA-256 of a key, in lower-case hexadecimal.

    Keys are long random texts, so a search for the key of an unsalted hash is not
    feasible.
    """
    return KeyHash(hashlib.sha256(key.encode()).hexdigest())
