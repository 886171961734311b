"""Finds the VMs that keep the record of a stream.

VMs with the same view of the fleet find the same keepers without messages, by
consistent hashing: the VMs of each data centre lie on a ring, and the keeper
of a key is the first one after the key's place. To find it takes hardly longer
in a large fleet, and a VM that comes or goes moves only the keys next to it.
"""

import bisect
import hashlib
import typing

from ..vms import rendezvous

#: Places of each VM on its ring, which even out the VMs' parts.
PLACES_PER_VM = 16
_PLACE_BYTES = 8


def _places(vm: str) -> list[int]:
    """The places of a VM on its ring."""
    digests = (
        hashlib.blake2b(f"{vm}\0{n}".encode(), digest_size=_PLACE_BYTES)
        for n in range(PLACES_PER_VM)
    )
    return [int.from_bytes(digest.digest()) for digest in digests]


class _Ring:
    """The VMs of one data centre."""

    __slots__ = ("_places", "_vms")

    def __init__(self) -> None:
        #: All places in order, and the VM at each.
        self._places: list[int] = []
        self._vms: list[str] = []

    def __bool__(self) -> bool:
        return bool(self._places)

    def add(self, vm: str) -> None:
        for place in _places(vm):
            index = bisect.bisect(self._places, place)
            self._places.insert(index, place)
            self._vms.insert(index, vm)

    def remove(self, vm: str) -> None:
        for place in _places(vm):
            index = bisect.bisect_left(self._places, place)
            del self._places[index]
            del self._vms[index]

    def following(self, place: int, count: int) -> list[str]:
        """The first VMs after a place, each once."""
        start = bisect.bisect(self._places, place)
        found: list[str] = []
        for step in range(len(self._vms)):
            vm = self._vms[(start + step) % len(self._vms)]
            if vm not in found:
                found.append(vm)
                if len(found) == count:
                    break
        return found


class KeeperRing:
    """The VMs of the fleet by data centre, and the keepers of each key."""

    __slots__ = ("_data_centres", "_rings")

    def __init__(self) -> None:
        self._data_centres: dict[str, str] = {}
        self._rings: dict[str, _Ring] = {}

    def set_vms(self, data_centres: typing.Mapping[str, str]) -> None:
        """Set the VMs that may be keepers.

        :param data_centres: the data centre of each VM.
        """
        for vm, data_centre in list(self._data_centres.items()):
            if data_centres.get(vm) != data_centre:
                self._rings[data_centre].remove(vm)
                del self._data_centres[vm]
        for vm, data_centre in data_centres.items():
            if vm not in self._data_centres:
                self._rings.setdefault(data_centre, _Ring()).add(vm)
                self._data_centres[vm] = data_centre

    def keepers(self, key: bytes, sender: str) -> list[str]:
        """The VMs that keep a record, in two data centres if possible.

        :param sender: the VM that sends the record, which has it anyway.
        """
        lists = [
            [vm for vm in vms if vm != sender]
            for vms in self._by_data_centre(key, 2)
        ]
        if len(lists) == 1:
            return lists[0][:2]
        return [vms[0] for vms in lists if vms]

    def candidates(self, key: bytes) -> list[str]:
        """The VMs that may have a record, the likeliest first.

        A VM that has just come or gone takes the place of another one, and
        the sender was passed over. So the next VMs of the data centres of the
        keepers are included, and the first one of a third.
        """
        lists = self._by_data_centre(key, 3)
        two = lists[:2]
        found = [vms[0] for vms in lists if vms]
        found += [vm for vms in two for vm in vms[1:2]]
        return found if len(lists) > 1 else lists[0]

    def _by_data_centre(self, key: bytes, most: int) -> list[list[str]]:
        """The first VMs after a key's place in a few data centres.

        :returns: at least one list; it is empty without VMs.
        """
        place = int.from_bytes(key[:_PLACE_BYTES])
        names = [name for name, ring in self._rings.items() if ring]
        chosen = rendezvous.rank(key.hex(), names)[:most]
        count = 2 if len(chosen) > 1 else 3
        lists = [self._rings[n].following(place, count) for n in chosen]
        return lists or [[]]
