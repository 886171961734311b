"""The duty to write the status of each roll-out to the store.

A roll-out moves a service to another version of its runners' software, as an
order in the store requests. All VMs evaluate roll-outs; a single writer, the
holder of the fleet's lease, limits the calls to the store. Each write is
conditional on the revision read just before, so that concurrent holders don't
overwrite each other and a late write of a former holder fails.
"""

import typing

from .. import clock as clocks
from .. import logs
from .. import validation
from ..roll_outs import controller as controllers
from ..roll_outs import model

from . import dialects
from . import store

#: Interval between two steps, in seconds.
STEP_INTERVAL_S = 0.1
#: Delay after a failed call, in seconds.
RETRY_S = 0.3
#: The kind of the stored records of when each roll-out started. The records
#: preserve the elapsed time when all processes restart.
START_RECORDS_KIND = "roll_out_notes"


def _is_start_record(value: typing.Any) -> bool:
    return (
        isinstance(value, dict)
        and validation.is_non_empty_string(value.get("version"))
        and validation.is_non_negative_number(value.get("started_at"))
    )


class LeaseHolder(typing.Protocol):
    """Tells whether this VM holds the lease on the fleet's duties."""

    @property
    def fencing(self) -> int | None:
        """The lease's fencing number; None while another VM holds it."""


class RollOutDuty:
    """Writes the states of roll-outs while this VM holds the fleet's lease.

    It also records when each roll-out started.

    :param controller: evaluates the roll-outs, and knows their orders.
    :param lease: tells whether this VM holds the lease.
    :param in_flight: counts the calls of all VMs in flight at the given
        runners.
    :param changed: called when a read or a write changed an order.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_controller",
        "_dialect",
        "_in_flight",
        "_lease",
        "_next_attempt_at",
        "_recorded_versions",
        "_store",
        "_written",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        controller: controllers.RollOutController,
        store_: store.Store,
        dialect: dialects.PlatformDialect,
        lease: LeaseHolder,
        in_flight: typing.Callable[[frozenset[str]], int],
        changed: typing.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._controller = controller
        self._store = store_
        self._dialect = dialect
        self._lease = lease
        self._in_flight = in_flight
        self._changed = changed
        self._next_attempt_at = float("-inf")
        #: Versions whose start was recorded or read, by service.
        self._recorded_versions: dict[str, str] = {}
        #: The last version and state written, by service.
        self._written: dict[str, tuple[str, model.RollOutState]] = {}

    async def step(self) -> None:
        """Write the states of roll-outs that are due.

        Without the lease, forget what was written before.
        """
        if self._lease.fencing is None:
            # Another VM may hold the lease and write in the meantime.
            self._recorded_versions.clear()
            self._written.clear()
            return
        if self._clock.now() < self._next_attempt_at:
            return
        for result in self._controller.due_results(self._in_flight):
            try:
                await self._process_result(result)
            except (store.StoreError, ValueError) as error:
                self._next_attempt_at = self._clock.now() + RETRY_S
                logs.event(
                    "roll_out_unwritten",
                    service=result.order.service,
                    state=result.state.name.lower(),
                    error=f"{type(error).__name__}: {error}",
                )

    async def _process_result(self, result: controllers.Result) -> None:
        order = result.order
        if self._recorded_versions.get(order.service) != order.version:
            await self._record_start(order)
            self._recorded_versions[order.service] = order.version
            # The recorded start may change the state that is due, so the
            # next step evaluates it again.
            return
        target = (order.version, result.state)
        if self._written.get(order.service) == target:
            return
        await self._write(result)

    async def _write(self, result: controllers.Result) -> None:
        order, state = result.order, result.state
        kind = self._dialect.roll_outs_kind
        found = await self._store.get(kind, order.service)
        if self._lease.fencing is None:
            return
        if found is None:
            if self._controller.withdraw_order(order.service, order.revision):
                self._changed()
            return
        current = self._dialect.parse_roll_out(found, order.started_at)
        if current.version != order.version or current.state.is_final:
            # The order was replaced, or another holder wrote the result.
            if self._controller.merge_order(current):
                self._changed()
            return
        status = self._dialect.encode_roll_out_status(order, state)
        if found.status != status:
            found = await self._store.replace_status(
                kind, order.service, status, found.revision
            )
            logs.event(
                "roll_out_written",
                service=order.service,
                version=order.version,
                state=state.name.lower(),
                fencing=self._lease.fencing,
            )
        self._written[order.service] = (order.version, state)
        written = order.with_state(state)
        written.revision = found.revision
        if self._controller.merge_order(written):
            self._changed()

    async def _record_start(self, order: model.RollOutOrder) -> None:
        """Store when a roll-out started, or restore the time stored before.

        Without the stored time, a restart of all processes would restart the
        roll-out's time limit.
        """
        record = {"version": order.version, "started_at": order.started_at}
        found = await self._store.get(START_RECORDS_KIND, order.service)
        if found is None:
            await self._store.create(START_RECORDS_KIND, order.service, record)
            return
        if (
            not _is_start_record(found.spec)
            or found.spec["version"] != order.version
        ):
            await self._store.replace(
                START_RECORDS_KIND, order.service, record, found.revision
            )
            return
        earlier = order.with_state(order.state)
        earlier.started_at = found.spec["started_at"]
        if self._controller.merge_order(earlier):
            self._changed()
