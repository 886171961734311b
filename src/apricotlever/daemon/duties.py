"""The task that does duties for the fleet while this VM holds their leases.

Rendezvous hashing names the VM for a duty, a lease in the store confirms
it, and the lease is checked on the thread that sends an order, just before
its first byte.
"""

from concurrent import futures
import functools
import random
import typing

from returns import result

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import settings
from ..catalogue import model as catalogues
from ..links import platform
from ..runners import model as runners
from ..vms import duties
from ..vms import fleet_view as views
from ..vms import lease_objects
from ..vms import orders

from . import autoscaler
from . import dispatcher_messages
from . import order_sender
from . import store as stores

TICK_S = 0.2
THREADS = 8


class ViewSeen:
    """The members changed."""

    __slots__ = ("view",)

    def __init__(self, view: views.FleetView) -> None:
        self.view = view


class Leave:
    """This VM stops: give all duties back."""

    __slots__ = ()


class _LeaseCalled:
    """A store call for a lease is over."""

    __slots__ = ("action", "outcome")

    def __init__(
        self, action: lease_objects.LeaseAction, outcome: typing.Any
    ) -> None:
        self.action = action
        self.outcome = outcome


class DutyHolder(mailbox.Task):
    """This VM's part in the fleet's duties.

    :param config: this VM and its times.
    :param store: runs the leases' calls.
    :param weights: paces loads of models.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.Settings,
        incarnation: int,
        store: mailbox.Task,
        weights: platform.WeightStore,
    ) -> None:
        super().__init__("duties", clock, TICK_S)
        self._config = config
        self._incarnation = incarnation
        self._store = store
        self._duties = duties.Duties(
            clock, rng, config.vm, incarnation, config.timing.lease_s
        )
        self._sender = order_sender.OrderSender(
            config.timing.order_timeout_s, weights, self.may_order, self.tell
        )
        self._threads = futures.ThreadPoolExecutor(THREADS, "duties")
        self._catalogue = catalogues.EMPTY
        self._runners: dict[str, runners.Runner] = {}
        self._orders: dict[str, orders.Orders] = {}
        self._view: views.FleetView | None = None
        self._held: set[str] = set()

    def may_order(self, duty: str, order_s: float) -> int | None:
        """The fencing number of a duty that this VM holds, or None.

        May be asked on any thread, just before an order is sent.

        :param order_s: how long it takes to send the order off.
        """
        return self._duties.may_order(duty, order_s)

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _configure(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        self._catalogue = message.catalogue
        longest_s = self._config.timing.order_timeout_s
        self._duties.configure(
            [
                duties.Duty(orders_duty(pool), "", longest_s)
                for pool in self._model_pools()
            ]
            + [
                duties.Duty(
                    autoscaler.capacity_duty(entry.pool), "", longest_s
                )
                for entry in message.catalogue.entries.values()
            ]
        )
        if self._view is not None:
            self._duties.update_view(self._view)

    @mailbox.handles(ViewSeen)
    def _view_seen(self, message: ViewSeen) -> None:
        self._view = message.view
        self._duties.update_view(message.view)

    @mailbox.handles(Leave)
    def _leave(self, message: Leave) -> None:
        self._duties.release_all()
        self._start_lease_calls()

    @mailbox.handles(dispatcher_messages.RunnersListed)
    def _listed(self, message: dispatcher_messages.RunnersListed) -> None:
        self._runners = {runner.name: runner for runner in message.runners}

    @mailbox.handles(_LeaseCalled)
    def _lease_called(self, message: _LeaseCalled) -> None:
        lease = self._duties.lease(message.action.name)
        outcome = message.outcome
        if isinstance(outcome, result.Success):
            stored = outcome.unwrap()
            if isinstance(message.action, lease_objects.ReadLease):
                lease.read(stored.version, stored.value)
            else:
                lease.written(stored.version)
            return
        match outcome.failure():
            case platform.NotFound():
                lease.read(None, None)
            case platform.Conflict():
                lease.conflict()
            case platform.Ambiguous():
                lease.ambiguous()
            case _:
                lease.failed()

    @mailbox.handles(order_sender.Ordered)
    def _ordered(self, message: order_sender.Ordered) -> None:
        known = self._orders.get(message.duty)
        if message.fenced:
            logs.event(
                "order_refused",
                duty=message.duty,
                runner=message.runner,
                fencing=message.fenced,
            )
            self._duties.fencing_rejected(message.duty, message.fenced)
        if known is None:
            return
        if message.sent:
            known.sent(message.runner)
        else:
            known.not_sent(message.runner)

    @mailbox.handles(order_sender.ReadBack)
    def _read_back(self, message: order_sender.ReadBack) -> None:
        known = self._orders.get(message.duty)
        if known is None:
            return
        if message.target is None:
            known.not_sent(message.runner)
        else:
            known.target_read(message.runner, message.target)

    @mailbox.handles(dispatcher_messages.StatusWanted)
    def _status(
        self, message: dispatcher_messages.StatusWanted
    ) -> dict[str, object]:
        return {
            "duties": {
                name: self._duties.may_order(name)
                for name in self._duties.held
            },
            "orders_unconfirmed": {
                name: known.unconfirmed for name, known in self._orders.items()
            },
        }

    def tick(self) -> None:
        """Renew leases, and order what is due under them."""
        self._start_lease_calls()
        self._note_held()
        for pool in self._model_pools():
            self._order(orders_duty(pool), pool)

    def stopped(self) -> None:
        """End the threads; orders under way end by their own timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _model_pools(self) -> list[str]:
        return sorted(
            {
                entry.pool
                for entry in self._catalogue.entries.values()
                if entry.kind == catalogues.KIND_MODEL
            }
        )

    def _note_held(self) -> None:
        held = set(self._duties.held)
        for name in sorted(held - self._held):
            fencing = self._duties.may_order(name)
            logs.event("lease_taken", duty=name, fencing=fencing)
        for name in sorted(self._held - held):
            logs.event("lease_lost", duty=name)
        self._held = held

    def _order(self, duty: str, pool: str) -> None:
        if duty not in self._held:
            self._orders.pop(duty, None)
            return
        known = self._orders.get(duty)
        if known is None:
            known = orders.Orders(
                self._clock, self._config.vm, self._incarnation
            )
            self._orders[duty] = known
        members = [r for r in self._runners.values() if r.pool == pool]
        target = self._target(pool)
        fresh = {runner.name for runner in members} - set(
            known.targeted_upstreams
        )
        for runner in members:
            known.set_target(runner.name, target)
        for name in fresh:
            # Most have the target already, and to ask costs no load.
            known.sent(name)
        for name in set(known.targeted_upstreams) - {
            runner.name for runner in members
        }:
            known.drop_target(name)
        for action in known.tick():
            runner = self._runners[action.upstream]
            self._start_order(duty, runner, action)

    def _start_order(
        self, duty: str, runner: runners.Runner, action: orders.OrderAction
    ) -> None:
        if isinstance(action, orders.SendOrder):
            self._threads.submit(self._sender.send, duty, runner, action)
        else:
            self._threads.submit(self._sender.read_back, duty, runner)

    def _target(self, pool: str) -> orders.Target:
        """What every runner of a pool should have loaded."""
        wanted = {
            (entry.model, entry.model_version)
            for entry in self._catalogue.entries.values()
            if entry.pool == pool and entry.kind == catalogues.KIND_MODEL
        }
        return {
            "models": [
                {"model": model, "version": version, "adapters": []}
                for model, version in sorted(wanted)
            ],
            "role": "serve",
        }

    def _start_lease_calls(self) -> None:
        for action in self._duties.tick():
            self._start_lease_call(action)

    @functools.singledispatchmethod
    def _start_lease_call(self, action: typing.Any) -> None:
        raise TypeError(type(action))

    @_start_lease_call.register
    def _start_read(self, action: lease_objects.ReadLease) -> None:
        call = stores.read(stores.Rank.LEASE, action.name)
        self._call(call, action)

    @_start_lease_call.register
    def _start_write(self, action: lease_objects.WriteLease) -> None:
        call = stores.write(
            stores.Rank.LEASE,
            action.name,
            action.value,
            action.expected_version,
        )
        self._call(call, action)

    def _call(
        self,
        call: stores.StoreCall,
        action: lease_objects.LeaseAction,
    ) -> None:
        def ended(future: "futures.Future[typing.Any]") -> None:
            if future.exception() is None:
                self.tell(_LeaseCalled(action, future.result()))

        self._store.ask(call).add_done_callback(ended)


def orders_duty(pool: str) -> str:
    """The duty of ordering what the runners of a pool load."""
    return f"orders/{pool}"
