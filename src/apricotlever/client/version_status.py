"""Finds the catalogue version in force at each entry VM.

A version is in force at a VM that applies it to requests.
"""

import time
import typing

from . import catalogue_store
from . import errors
from . import fleet
from ..links import entry_api

Json = typing.Any

POLL_INTERVAL_S = 0.2


class VersionStatus:
    """The catalogue versions in force at the entry VMs and in the store.

    :param replies: the status replies of the live entry VMs.
    :param stored: the store's version, read after the replies arrived; None
        if it is unknown.
    """

    __slots__ = ("_replies", "_stored")

    def __init__(
        self, replies: tuple[fleet.Reply, ...], stored: int | None
    ) -> None:
        self._replies = replies
        self._stored = stored

    @property
    def rows(self) -> list[dict[str, Json]]:
        """One table row for each entry VM."""
        return [
            {
                "vm": reply.member.vm,
                "state": reply.member.state,
                "version": _catalogue_version(reply),
                "problem": reply.problem or None,
            }
            for reply in self._replies
        ]

    @property
    def store_problem(self) -> str | None:
        """Warning that the store's version is below the one in force.

        This happens when the store is restored from a backup. An edit then
        gets a version that every VM has already passed, so the edit seems
        to be in force although no VM applies it. None if there is no such
        problem.
        """
        highest = max(
            (_catalogue_version(r) or 0 for r in self._replies), default=0
        )
        stored = (
            self._stored
            if self._stored is not None
            else self._reported_store_version
        )
        if stored is None or stored >= highest:
            return None
        return (
            f"the store went back to version {stored}; what it holds comes "
            f"into force only above version {highest}"
        )

    @property
    def _reported_store_version(self) -> int | None:
        """Lowest store version reported by VMs that saw the store go back.

        None if no VM reports that.
        """
        reported = (_store_behind(reply) for reply in self._replies)
        return min((v for v in reported if v is not None), default=None)

    def not_in_force_reason(self, wanted: int) -> str | None:
        """Why a version is not in force at every VM; None if it is.

        :param wanted: the version; later ones count as well.
        """
        lagging = [
            reply.member.vm
            for reply in self._replies
            if (_catalogue_version(reply) or 0) < wanted
        ]
        if lagging:
            return f"version {wanted} is not in force at " + ", ".join(lagging)
        return self.store_problem


class VersionQuery:
    """Queries every entry VM for the catalogue version in force there.

    :param entry_vms: client of the entry VMs.
    :param store: client of the catalogue's store; None if no store is
        configured.
    """

    __slots__ = ("_fleet", "_store")

    def __init__(
        self,
        entry_vms: fleet.Fleet,
        store: catalogue_store.CatalogueStore | None,
    ) -> None:
        self._fleet = entry_vms
        self._store = store

    def query(self) -> VersionStatus:
        """Query all live entry VMs once.

        :raises Unreachable: if no entry VM answers.
        """
        replies = self._fleet.query_all(entry_api.EntryApi.status)
        return VersionStatus(replies, self._read_store_version())

    def wait_for_version(self, wanted: int, timeout_s: float) -> VersionStatus:
        """Query repeatedly until every live VM has a version or a later one.

        The list of VMs is read again for each query, so that a VM that dies
        meanwhile does not block the wait and a VM that joins is included.

        :raises VersionNotInForce: if the timeout expires.
        :raises Unreachable: if no entry VM answers.
        """
        deadline = time.monotonic() + timeout_s
        while problem := (found := self.query()).not_in_force_reason(wanted):
            if time.monotonic() >= deadline:
                raise errors.VersionNotInForce(
                    f"after {timeout_s:g} s: {problem}"
                )
            time.sleep(POLL_INTERVAL_S)
        return found

    def _read_store_version(self) -> int | None:
        """Read the store's version; None if the store can't be read."""
        if self._store is None:
            return None
        try:
            return self._store.current().version
        except errors.Unreachable:
            return None


def _catalogue_version(reply: fleet.Reply) -> int | None:
    return _int_field(reply, "catalogue_version")


def _store_behind(reply: fleet.Reply) -> int | None:
    return _int_field(reply, "store_behind")


def _int_field(reply: fleet.Reply, field: str) -> int | None:
    if reply.document is None:
        return None
    found = reply.document.get(field)
    return found if isinstance(found, int) else None
