"""Asking every entry VM of the fleet, starting from any one of them."""

import collections.abc
from concurrent import futures
import typing

from returns import result

from .. import settings
from . import errors
from ..links import entry_api

Json = typing.Any
Question = typing.Callable[[entry_api.EntryApi], entry_api.Outcome]

ASKED_AT_ONCE_MAX = 32
STATE_DEAD = "dead"


class Member:
    """An entry VM as one of its peers lists it.

    :param vm: its name.
    :param address: where it listens for callers.
    :param state: ``alive``, ``suspect`` or ``leaving``.
    """

    __slots__ = ("vm", "address", "state")

    def __init__(self, vm: str, address: settings.Address, state: str) -> None:
        self.vm = vm
        self.address = address
        self.state = state


class Reply:
    """What one entry VM answered.

    :param member: who was asked.
    :param document: its answer; None when there was none.
    :param problem: why there was none, else empty.
    """

    __slots__ = ("member", "document", "problem")

    def __init__(self, member: Member, document: Json, problem: str) -> None:
        self.member = member
        self.document = document
        self.problem = problem


class Fleet:
    """The entry VMs, found through any that answers.

    :param addresses: entry VMs to begin with, tried in order.
    :param key: the operators' key, empty for none.
    """

    __slots__ = ("_addresses", "_key")

    def __init__(
        self,
        addresses: collections.abc.Sequence[settings.Address],
        key: str = "",
    ) -> None:
        self._addresses = tuple(addresses)
        self._key = key

    def ask_any(self, question: Question) -> Json:
        """Ask the entry VMs of the command line until one answers.

        :raises Unreachable: if none does.
        """
        asked = (question(self._api(a)) for a in self._addresses)
        problems = []
        for outcome in asked:
            match outcome:
                case result.Success(document):
                    return document
                case result.Failure(problem):
                    problems.append(problem.message)
        raise errors.Unreachable("; ".join(problems))

    def members(self) -> tuple[Member, ...]:
        """Every entry VM that is not held to be dead, sorted by name."""
        status = self.ask_any(entry_api.EntryApi.status)
        try:
            members = [_member(peer) for peer in status["peers"]]
        except (KeyError, TypeError, ValueError) as error:
            raise errors.Unreachable(
                f"the status of the entry VM has no list of peers: {error!r}"
            )
        live = {m.vm: m for m in members if m.state != STATE_DEAD}
        return tuple(live[vm] for vm in sorted(live))

    def ask_all(self, question: Question) -> tuple[Reply, ...]:
        """Ask every live entry VM at once."""
        members = self.members()
        with futures.ThreadPoolExecutor(ASKED_AT_ONCE_MAX) as pool:
            replies = pool.map(
                lambda m: _reply(m, self._api(m.address), question), members
            )
            return tuple(replies)

    def _api(self, address: settings.Address) -> entry_api.EntryApi:
        return entry_api.EntryApi(address, key=self._key)


def _member(peer: Json) -> Member:
    address = settings.Address.from_text(peer["address"])
    return Member(str(peer["vm"]), address, str(peer["state"]))


def _reply(
    member: Member, api: entry_api.EntryApi, question: Question
) -> Reply:
    try:
        match question(api):
            case result.Success(document):
                return Reply(member, document, "")
            case result.Failure(problem):
                return Reply(member, None, problem.message)
        raise AssertionError("a result is a success or a failure")
    finally:
        api.close()
