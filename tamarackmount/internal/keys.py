"""Keys of teams and operators, which are stored by their hashes only."""

import hashlib

from tamarackmount.ids import KeyHash


def hash_key(key: str) -> KeyHash:
    """Return the SHA-256 of a key, in lower-case hexadecimal.

    Keys are long random texts, so a plain hash can't be searched for the key.
    """
    return KeyHash(hashlib.sha256(key.encode()).hexdigest())
