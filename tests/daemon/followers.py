"""Watches what each entry VM has in force while operators edit.

Each edit gives two customers new bearer keys. A VM that shows one version
and takes the new key of the one customer and not of the other has half an
edit in force.
"""

import copy
import hashlib
import itertools
import threading
import typing

from tests.daemon import scene
from tests.support import http

PAIR = ("left", "right")
#: The answer to a known customer who asks for an unknown request.
KNOWN = 404
Document = dict[str, typing.Any]


def key_at(customer: str, edit: int) -> str:
    """The bearer key that an edit gives to one of the pair."""
    return f"key-{customer}-{edit}"


def edited(edit: int) -> Document:
    """The scene's catalogue with the pair's keys of an edit."""
    document = copy.deepcopy(scene.catalogue())
    for customer in PAIR:
        key = key_at(customer, edit).encode()
        document["customers"][customer] = {
            "key_sha256": hashlib.sha256(key).hexdigest(),
            "weight": 1.0 + edit,
        }
    return document


class Sample:
    """One look at one VM.

    :param before: the version that it showed first.
    :param after: the version that it showed after the keys were tried.
    :param taken: which of the pair's keys of ``before`` it took.
    """

    __slots__ = ("vm", "before", "after", "taken")

    def __init__(
        self, vm: str, before: int, after: int, taken: tuple[bool, ...]
    ) -> None:
        self.vm = vm
        self.before = before
        self.after = after
        self.taken = taken


class Sampler:
    """Looks at each VM again and again, on a thread for each.

    :param addresses: where the VMs listen for callers, by name.
    :param edits: the number of the edit that made each version; filled in
        while the sampler runs.
    """

    def __init__(
        self, addresses: dict[str, str], edits: dict[int, int]
    ) -> None:
        self._edits = edits
        self._stopping = threading.Event()
        self._samples: dict[str, list[Sample]] = {vm: [] for vm in addresses}
        self._threads = [
            threading.Thread(target=self._look, args=pair, daemon=True)
            for pair in addresses.items()
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> dict[str, list[Sample]]:
        """Look no more.

        :returns: the samples of each VM in order.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self._samples

    def _look(self, vm: str, address: str) -> None:
        while not self._stopping.is_set():
            try:
                self._samples[vm].append(self._sample(vm, address))
            except OSError:
                self._stopping.wait(0.02)

    def _sample(self, vm: str, address: str) -> Sample:
        before = version_at(address)
        edit = self._edits.get(before)
        keys = [key_at(c, edit) for c in PAIR] if edit is not None else []
        taken = tuple(takes(address, key) for key in keys)
        return Sample(vm, before, version_at(address), taken)


def version_at(address: str) -> int:
    """The catalogue version that a VM shows."""
    status = http.call(address, "GET", "/v1/status").payload
    return status["catalogue_version"]


def problems(samples: dict[str, list[Sample]]) -> list[str]:
    """Versions that fell, and versions of which half was in force."""
    return [
        problem
        for vm, found in samples.items()
        for problem in (*_falls(vm, found), *_halves(vm, found))
    ]


def takes(address: str, key: str) -> bool:
    """Whether a VM knows the customer with a bearer key."""
    headers = {"Authorization": f"Bearer {key}"}
    reply = http.call(address, "GET", "/v1/requests/none", headers=headers)
    return reply.status == KNOWN


def _falls(vm: str, found: list[Sample]) -> list[str]:
    both = [v for sample in found for v in (sample.before, sample.after)]
    # A VM that has started refuses everybody until it has a catalogue.
    shown = [version for version in both if version]
    return [
        f"{vm}: version {later} after {earlier}"
        for earlier, later in itertools.pairwise(shown)
        if later < earlier
    ]


def _halves(vm: str, found: list[Sample]) -> list[str]:
    return [
        f"{vm}: version {sample.before} with keys {sample.taken}"
        for sample in found
        if sample.before == sample.after and not all(sample.taken)
    ]
