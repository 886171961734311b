"""Which VMs callers are sent to."""

import typing

from . import vm_records

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
