"""The other VMs that run calls for this one while it reaches no runner."""

import random
import typing

from .. import clock as clocks
from ..vms import helper_choice
from ..vms import vm_records

from . import attempt_outcome
from . import connection_pool as pools

#: Connections to one helper at most, each with one call at a time.
MAX_CONNECTIONS = 256
#: For how long a failed connection to a runner may mean that this VM has lost
#: its paths, in seconds.
RECENT_FAILURE_S = 1.0


class Reachability(typing.Protocol):
    """Tells whether this VM reaches runners."""

    @property
    def is_isolated(self) -> bool:
        """Whether this VM reaches no runner."""

    @property
    def is_connected(self) -> bool:
        """Whether nothing suggests that this VM lost its runners."""

    @property
    def lacks_new_connections(self) -> bool:
        """Whether only open connections to runners bring bytes."""


class Helpers:
    """Chooses helpers, and keeps the connections to them.

    :param vm: this VM's name.
    :param data_centre: this VM's data centre.
    :param reach: tells whether this VM needs helpers.
    :param own_host: the address by which other VMs know this one; None to
        connect to them from any.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_connection_failed_at",
        "_data_centre",
        "_far_bytes",
        "_own_host",
        "_pools",
        "_reach",
        "_results",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        reach: Reachability,
        own_host: str | None = None,
    ) -> None:
        self._clock = clock
        self._own_host = own_host
        self._reach = reach
        self._data_centre = data_centre
        self._choice = helper_choice.HelperChoice(clock, rng, vm, data_centre)
        #: Connections by address.
        self._pools: dict[str, pools.ConnectionPool] = {}
        #: Number of forwarded calls by result.
        self._results: dict[str, int] = {}
        self._far_bytes = 0
        #: When a connection to a runner could not be opened, by the clock.
        self._connection_failed_at = float("-inf")

    @property
    def are_needed(self) -> bool:
        """Whether this VM reaches no runner itself."""
        return self._reach.is_isolated

    @property
    def may_be_needed(self) -> bool:
        """Whether something suggests that this VM lost paths to runners.

        A connection that just failed does, too: open ones may bring bytes
        while new ones are refused.
        """
        since = self._clock.now() - RECENT_FAILURE_S
        return self._connection_failed_at > since or (
            not self._reach.is_connected
        )

    @property
    def replace_new_connections(self) -> bool:
        """Whether a call goes to a helper rather than over a new connection.

        Connections to runners that are open bring bytes then, but new ones
        fail at all of them.
        """
        return self._reach.lacks_new_connections and self.exist

    @property
    def exist(self) -> bool:
        """Whether some VM may help now."""
        return self._choice.choose(()) is not None

    @property
    def choice(self) -> helper_choice.HelperChoice:
        """Chooses helpers."""
        return self._choice

    @property
    def results(self) -> dict[str, int]:
        """Number of forwarded calls by result."""
        return self._results

    @property
    def counters(self) -> dict[str, float]:
        """Metrics without labels, by name."""
        return {
            "forwarded_calls": self._choice.in_flight,
            "forwarded_bytes_to_data_centres_total": self._far_bytes,
        }

    def set_records(self, alive: typing.Sequence[vm_records.VmRecord]) -> None:
        """Set the latest records of the VMs that were heard from recently."""
        self._choice.set_records(alive)

    def pool(self, address: str) -> pools.ConnectionPool:
        """The connections to a helper.

        :param address: as ``host:port``.
        """
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = pools.ConnectionPool(
                host, int(port), MAX_CONNECTIONS, self._own_host
            )
            self._pools[address] = pool
        return pool

    def connection_failed(self) -> None:
        """Record that no connection to a runner could be opened."""
        self._connection_failed_at = self._clock.now()

    def record_bytes(self, helper: vm_records.VmRecord, count: int) -> None:
        """Count the bytes of a forwarded call, sent or received.

        Only those to or from other data centres are counted, which cost money.
        """
        if helper.data_centre != self._data_centre:
            self._far_bytes += count

    def record_result(
        self, status: attempt_outcome.AttemptStatus | None
    ) -> None:
        """Count the end of a forwarded call.

        :param status: how far it got; None if the caller has gone, or its time
            is over.
        """
        result = status.value if status is not None else "cancelled"
        self._results[result] = self._results.get(result, 0) + 1

    def sweep(self, now: float) -> None:
        """Close idle connections, and forget helpers without connections.

        :param now: on the event loop's clock, in seconds.
        """
        for address, pool in tuple(self._pools.items()):
            pool.close_expired(now)
            if not pool.open_count:
                del self._pools[address]
