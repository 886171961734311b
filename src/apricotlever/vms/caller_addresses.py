"""Which VMs callers are sent to."""

import typing

from . import vm_records


def listed(
    own: str,
    ready: bool,
    isolated: bool,
    alive: typing.Iterable[vm_records.VmRecord],
) -> list[str]:
    """Addresses of the VMs that take calls, this one's first.

    They are those of the live VMs that are ready. Isolated ones, which would
    have to forward their calls, are left out unless all are: an empty
    list would turn callers away from VMs that may soon be back.

    :param own: address of this VM for callers.
    :param ready: whether this VM takes calls.
    :param isolated: what this VM's own record says of it.
    :param alive: records of the other live VMs.
    """
    others = [peer for peer in alive if peer.ready and not peer.leaving]
    reaching = [peer for peer in others if not peer.isolated]
    if reaching or (ready and not isolated):
        others = reaching
        ready = ready and not isolated
    addresses = sorted(peer.caller_address for peer in others)
    return [own] + addresses if ready else addresses
