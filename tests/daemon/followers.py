"""Samples the catalogue in force at each entry VM while operators edit it.

Each edit gives two customers new bearer keys. A VM that reports the version
of an edit but accepts the new key of only one of the customers has only part
of the edit in force.
"""

import copy
import hashlib
import itertools
import threading
import typing

from tests.daemon import fleet_fixture
from tests.support import http

EDITED_CUSTOMERS = ("left", "right")
#: Status of the answer to a known customer that asks for an unknown request.
KNOWN_CUSTOMER_STATUS = 404
Document = dict[str, typing.Any]


def bearer_key(customer: str, edit: int) -> str:
    """The bearer key that an edit gives to one of the two customers."""
    return f"key-{customer}-{edit}"


def edited_catalogue(edit: int) -> Document:
    """The fixture's catalogue with the two customers' keys of an edit."""
    document = copy.deepcopy(fleet_fixture.catalogue())
    for customer in EDITED_CUSTOMERS:
        key = bearer_key(customer, edit).encode()
        document["customers"][customer] = {
            "key_sha256": hashlib.sha256(key).hexdigest(),
            "weight": 1.0 + edit,
        }
    return document


class Sample:
    """One sample of the catalogue in force at one VM.

    :param vm: name of the VM.
    :param before: the version that the VM reported before the keys were tried.
    :param after: the version that the VM reported after the keys were tried.
    :param accepted: for each of the two customers, whether the VM accepted the
        key that belongs to version ``before``; empty for an unknown version.
    """

    __slots__ = ("vm", "before", "after", "accepted")

    def __init__(
        self, vm: str, before: int, after: int, accepted: tuple[bool, ...]
    ) -> None:
        self.vm = vm
        self.before = before
        self.after = after
        self.accepted = accepted


class Sampler:
    """Samples each VM repeatedly, on one thread for each VM.

    :param addresses: addresses at which the VMs listen for callers, by name.
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
            threading.Thread(
                target=self._sample_until_stopped, args=item, daemon=True
            )
            for item in addresses.items()
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> dict[str, list[Sample]]:
        """Stop sampling.

        :returns: the samples of each VM, in order.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self._samples

    def _sample_until_stopped(self, vm: str, address: str) -> None:
        while not self._stopping.is_set():
            try:
                self._samples[vm].append(self._sample(vm, address))
            except OSError:
                self._stopping.wait(0.02)

    def _sample(self, vm: str, address: str) -> Sample:
        before = catalogue_version(address)
        edit = self._edits.get(before)
        keys = (
            [bearer_key(customer, edit) for customer in EDITED_CUSTOMERS]
            if edit is not None
            else []
        )
        accepted = tuple(accepts_key(address, key) for key in keys)
        return Sample(vm, before, catalogue_version(address), accepted)


def catalogue_version(address: str) -> int:
    """The catalogue version that a VM reports."""
    status = http.call(address, "GET", "/v1/status").payload
    return status["catalogue_version"]


def problems(samples: dict[str, list[Sample]]) -> list[str]:
    """Decreases of a version, and versions that were partly in force."""
    return [
        problem
        for vm, vm_samples in samples.items()
        for problem in (
            *_decreases(vm, vm_samples),
            *_partial_versions(vm, vm_samples),
        )
    ]


def accepts_key(address: str, key: str) -> bool:
    """Whether a VM accepts a bearer key as that of a customer."""
    headers = {"Authorization": f"Bearer {key}"}
    reply = http.call(address, "GET", "/v1/requests/none", headers=headers)
    return reply.status == KNOWN_CUSTOMER_STATUS


def _decreases(vm: str, vm_samples: list[Sample]) -> list[str]:
    reported = [
        version
        for sample in vm_samples
        for version in (sample.before, sample.after)
    ]
    # A VM that has just started reports version 0 and refuses every caller
    # until it has a catalogue.
    versions = [version for version in reported if version]
    return [
        f"{vm}: version {later} after {earlier}"
        for earlier, later in itertools.pairwise(versions)
        if later < earlier
    ]


def _partial_versions(vm: str, vm_samples: list[Sample]) -> list[str]:
    return [
        f"{vm}: version {sample.before} with keys {sample.accepted}"
        for sample in vm_samples
        if sample.before == sample.after and not all(sample.accepted)
    ]
