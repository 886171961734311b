"""Which catalogue version is in force at each entry VM."""

import time
import typing

from . import catalogue_store
from . import errors
from . import fleet
from ..links import entry_api

Json = typing.Any

POLL_S = 0.2


class InForce:
    """The catalogue version at each entry VM.

    :param replies: the status of each live entry VM.
    :param stored: the store's version, read after the replies came; None
        when it is not known.
    """

    __slots__ = ("_replies", "_stored")

    def __init__(
        self, replies: tuple[fleet.Reply, ...], stored: int | None
    ) -> None:
        self._replies = replies
        self._stored = stored

    @property
    def rows(self) -> list[dict[str, Json]]:
        """One row for each VM."""
        return [
            {
                "vm": reply.member.vm,
                "state": reply.member.state,
                "version": _version_in(reply),
                "problem": reply.problem or None,
            }
            for reply in self._replies
        ]

    @property
    def store_problem(self) -> str | None:
        """The store went back, as after it was restored from a copy.

        Its versions are then lower than the one in force, so that an edit
        made on it would pass for being in force although it never will be.
        """
        highest = max((_version_in(r) or 0 for r in self._replies), default=0)
        stored = self._stored if self._stored is not None else self._told
        if stored is None or stored >= highest:
            return None
        return (
            f"the store went back to version {stored}; what it holds comes "
            f"into force only above version {highest}"
        )

    @property
    def _told(self) -> int | None:
        """What the VMs that watch the store know of its going back."""
        told = (_behind_in(reply) for reply in self._replies)
        return min((v for v in told if v is not None), default=None)

    def missing(self, wanted: int) -> str | None:
        """Why a version is not in force everywhere; None when it is."""
        lagging = [
            reply.member.vm
            for reply in self._replies
            if (_version_in(reply) or 0) < wanted
        ]
        if lagging:
            return f"version {wanted} is not in force at " + ", ".join(lagging)
        return self.store_problem


class Question:
    """Asks every entry VM for the version in force there.

    :param asked: the entry VMs.
    :param store: the catalogue in the store; None when it is not known.
    """

    __slots__ = ("_asked", "_store")

    def __init__(
        self,
        asked: fleet.Fleet,
        store: catalogue_store.CatalogueStore | None,
    ) -> None:
        self._asked = asked
        self._store = store

    def ask(self) -> InForce:
        """Ask once."""
        replies = self._asked.ask_all(entry_api.EntryApi.status)
        return InForce(replies, self._stored())

    def wait(self, wanted: int, timeout_s: float) -> InForce:
        """Ask again until no live VM lags behind.

        The list of VMs is read anew each time: a VM that dies meanwhile
        must not hold the answer up, and one that joins must not be missed.

        :raises NotInForce: when the time is over.
        """
        deadline = time.monotonic() + timeout_s
        while problem := (found := self.ask()).missing(wanted):
            if time.monotonic() >= deadline:
                raise errors.NotInForce(f"after {timeout_s:g} s: {problem}")
            time.sleep(POLL_S)
        return found

    def _stored(self) -> int | None:
        """The store's version; it may be down, which hinders nothing."""
        if self._store is None:
            return None
        try:
            return self._store.current().version
        except errors.Unreachable:
            return None


def _version_in(reply: fleet.Reply) -> int | None:
    return _number_in(reply, "catalogue_version")


def _behind_in(reply: fleet.Reply) -> int | None:
    return _number_in(reply, "store_behind")


def _number_in(reply: fleet.Reply, field: str) -> int | None:
    if reply.document is None:
        return None
    found = reply.document.get(field)
    return found if isinstance(found, int) else None
