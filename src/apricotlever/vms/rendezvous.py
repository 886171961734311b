"""Rendezvous hashing: VMs with the same view agree without talking.

Each name gets a weight from the key and itself; the heaviest wins. When a
name goes, only the keys that it had won move.
"""

import typing

import xxhash


def weight(key: str, name: str) -> int:
    """The 64-bit weight of a name for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """All names, best first.

    :param key: what is to be placed.
    :param names: who may hold it; order and doubles don't matter.
    """
    return sorted(
        set(names), key=lambda name: (weight(key, name), name), reverse=True
    )


def pick(key: str, names: typing.Iterable[str]) -> str | None:
    """The best name, or None when there are none."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)
