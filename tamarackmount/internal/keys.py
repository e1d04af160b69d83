"""Hashing of the API keys of teams and operators; only the hashes are stored."""

import hashlib

from tamarackmount.ids import KeyHash


def hash_key(key: str) -> KeyHash:
    """Return the SHA-256 of a key, in lower-case hexadecimal.

    A salt is not needed: keys are long random strings, so they can be neither guessed
    nor looked up in a precomputed table of hashes.
    """
    return KeyHash(hashlib.sha256(key.encode()).hexdigest())
