"""Queries every entry VM of the fleet, discovered through any one of them."""

import collections.abc
from concurrent import futures
import typing

from returns import result

from .. import settings
from . import errors
from ..links import entry_api

Json = typing.Any
Query = typing.Callable[[entry_api.EntryApi], entry_api.Outcome]

MAX_CONCURRENT_QUERIES = 32
STATE_DEAD = "dead"


class Member:
    """An entry VM as listed in the status of one entry VM.

    :param vm: name of the VM.
    :param address: address where the VM listens for callers.
    :param state: ``alive``, ``suspect`` or ``leaving``.
    """

    __slots__ = ("vm", "address", "state")

    def __init__(self, vm: str, address: settings.Address, state: str) -> None:
        self.vm = vm
        self.address = address
        self.state = state


class Reply:
    """Reply of one entry VM to a query.

    :param member: the queried VM.
    :param document: JSON document of the reply; None if the query failed.
    :param problem: why the query failed; empty if it succeeded.
    """

    __slots__ = ("member", "document", "problem")

    def __init__(self, member: Member, document: Json, problem: str) -> None:
        self.member = member
        self.document = document
        self.problem = problem


class Fleet:
    """Client of all entry VMs, which it discovers through any one of them.

    :param addresses: entry VMs for discovery, tried in order.
    :param key: the operator key; empty for none.
    """

    __slots__ = ("_addresses", "_key")

    def __init__(
        self,
        addresses: collections.abc.Sequence[settings.Address],
        key: str = "",
    ) -> None:
        self._addresses = tuple(addresses)
        self._key = key

    def query_any(self, query: Query) -> Json:
        """Query the configured entry VMs in order until one answers.

        :raises Unreachable: if none answers.
        """
        outcomes = (query(self._api(a)) for a in self._addresses)
        problems = []
        for outcome in outcomes:
            match outcome:
                case result.Success(document):
                    return document
                case result.Failure(problem):
                    problems.append(problem.message)
        raise errors.Unreachable("; ".join(problems))

    def members(self) -> tuple[Member, ...]:
        """Every entry VM that its peers don't list as dead, sorted by name.

        :raises Unreachable: if no entry VM answers with a list of peers.
        """
        status = self.query_any(entry_api.EntryApi.status)
        try:
            members = [_parse_member(peer) for peer in status["peers"]]
        except (KeyError, TypeError, ValueError) as error:
            raise errors.Unreachable(
                f"the status of the entry VM has no list of peers: {error!r}"
            )
        live = {m.vm: m for m in members if m.state != STATE_DEAD}
        return tuple(live[vm] for vm in sorted(live))

    def query_all(self, query: Query) -> tuple[Reply, ...]:
        """Query every live entry VM concurrently.

        :raises Unreachable: if no entry VM answers with a list of peers.
        """
        members = self.members()
        with futures.ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
            replies = pool.map(
                lambda m: _query_member(m, self._api(m.address), query),
                members,
            )
            return tuple(replies)

    def _api(self, address: settings.Address) -> entry_api.EntryApi:
        return entry_api.EntryApi(address, key=self._key)


def _parse_member(peer: Json) -> Member:
    address = settings.Address.from_text(peer["address"])
    return Member(str(peer["vm"]), address, str(peer["state"]))


def _query_member(
    member: Member, api: entry_api.EntryApi, query: Query
) -> Reply:
    try:
        match query(api):
            case result.Success(document):
                return Reply(member, document, "")
            case result.Failure(problem):
                return Reply(member, None, problem.message)
        raise AssertionError("a result is a success or a failure")
    finally:
        api.close()
