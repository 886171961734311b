"""Which VMs callers are sent to."""

import bisect
import functools
import typing
import zlib

from . import vm_records

#: Upper limit of the addresses whose positions are kept in memory.
MAX_CACHED_POSITIONS = 16384

#: The least share of the ready VMs that must reach runners for the isolated
#: ones to leave the list. With fewer, all callers would come to the few that
#: are left, which could then serve nobody.
MIN_CONNECTED_SHARE = 0.5


def listed(
    own: str,
    ready: bool,
    isolated: bool,
    alive: typing.Iterable[vm_records.VmRecord],
) -> list[str]:
    """Addresses of the VMs that take calls, this one's first.

    They are those of the live VMs that are ready. Isolated ones, which would
    have to forward their calls, are left out while enough VMs reach runners;
    so the list is never empty.

    :param own: address of this VM for callers.
    :param ready: whether this VM takes calls.
    :param isolated: what this VM's own record says of it.
    :param alive: records of the other live VMs.
    """
    others = [peer for peer in alive if peer.ready and not peer.leaving]
    connected = [peer for peer in others if not peer.isolated]
    own_connected = ready and not isolated
    if len(connected) + own_connected >= MIN_CONNECTED_SHARE * max(
        1, len(others) + ready
    ):
        others, ready = connected, own_connected
    addresses = sorted(peer.caller_address for peer in others)
    return [own] + addresses if ready else addresses


def select(
    addresses: typing.Sequence[str], caller: str, most: int
) -> list[str]:
    """The VMs of a large fleet that one caller uses.

    Each caller gets a part of the fleet of its own, the same from each VM
    that it asks, and changed as little as possible when VMs come and go.
    Callers give up connections to VMs that are not in their latest list.

    :param addresses: addresses of all VMs that take calls.
    :param caller: the caller's IP address.
    :param most: how many addresses callers read.
    """
    if len(addresses) <= most:
        return list(addresses)
    ring = sorted(addresses, key=_position)
    start = bisect.bisect(ring, _position(caller), key=_position)
    return (ring[start:] + ring[:start])[:most]


@functools.lru_cache(MAX_CACHED_POSITIONS)
def _position(name: str) -> int:
    """The position of a VM or caller on a ring of 32 bits."""
    return zlib.crc32(name.encode())
