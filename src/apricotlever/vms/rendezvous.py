"""Rendezvous hashing: VMs with the same view agree without messages.

Each name gets a weight by hashing it together with the key; the name with
the greatest weight is chosen. When a name is removed, only the keys assigned
to it move.
"""

import typing

import xxhash


def weight(key: str, name: str) -> int:
    """The 64-bit weight of a name for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """Sort names by falling weight for a key.

    :param key: the key to assign.
    :param names: the candidates; order and duplicates do not matter.
    """
    return sorted(
        set(names), key=lambda name: (weight(key, name), name), reverse=True
    )


def pick(key: str, names: typing.Iterable[str]) -> str | None:
    """The name with the greatest weight for a key; None without names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)
