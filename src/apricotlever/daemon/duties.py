"""The task that performs duties for the fleet under leases.

A duty is work that one entry VM at a time performs for all, such as ordering
which models the runners of a pool load. Rendezvous hashing determines the VM
responsible for a duty, and a lease in the store confirms it. An order is a
call that directs a runner. The thread that sends it checks the lease just
before the first byte. The order carries the lease's fencing number, which
rises with each holder, so that a runner can refuse the late order of an
earlier one.
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
from . import runner_messages
from . import store as stores

TICK_S = 0.2
THREADS = 8


class UpdateView:
    """Message: the view, this VM's snapshot of the fleet, has changed."""

    __slots__ = ("view",)

    def __init__(self, view: views.FleetView) -> None:
        self.view = view


class ReleaseDuties:
    """Message: release the leases of all duties, because this VM stops."""

    __slots__ = ()


class _LeaseCallEnded:
    """Message: a store call that reads or writes a lease has ended.

    :param action: the read or write that was made.
    :param outcome: a :class:`returns.result.Result` with the store's answer
        or error.
    """

    __slots__ = ("action", "outcome")

    def __init__(
        self, action: lease_objects.LeaseAction, outcome: typing.Any
    ) -> None:
        self.action = action
        self.outcome = outcome


class DutyHolder(mailbox.Task):
    """Contends for the leases of duties, and orders which models to load.

    :param config: the name of this VM, the duration of leases and the
        timeout of orders.
    :param store: runs the store calls for the leases.
    :param weights: leases model weights, which limits the loads in progress.
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
        self._order_sender = order_sender.OrderSender(
            config.timing.order_timeout_s, weights, self.may_order, self.tell
        )
        self._threads = futures.ThreadPoolExecutor(THREADS, "duties")
        self._catalogue = catalogues.EMPTY
        self._runners: dict[str, runners.Runner] = {}
        self._orders: dict[str, orders.Orders] = {}
        self._view: views.FleetView | None = None
        self._held: set[str] = set()

    def may_order(self, duty: str, order_s: float) -> int | None:
        """The fencing number for an order.

        It may be called on any thread, just before the order is sent.

        :param duty: the name of the duty.
        :param order_s: the time needed to send the order, in seconds.
        :returns: the fencing number; None if this VM does not hold the
            duty's lease for that time.
        """
        return self._duties.may_order(duty, order_s)

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _configure(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        self._catalogue = message.catalogue
        longest_order_s = self._config.timing.order_timeout_s
        self._duties.configure(
            [
                duties.Duty(orders_duty_name(pool), "", longest_order_s)
                for pool in self._model_pools()
            ]
            + [
                duties.Duty(
                    autoscaler.capacity_duty_name(entry.pool),
                    "",
                    longest_order_s,
                )
                for entry in message.catalogue.entries.values()
            ]
        )
        if self._view is not None:
            self._duties.update_view(self._view)

    @mailbox.handles(UpdateView)
    def _update_view(self, message: UpdateView) -> None:
        self._view = message.view
        self._duties.update_view(message.view)

    @mailbox.handles(ReleaseDuties)
    def _release_duties(self, message: ReleaseDuties) -> None:
        self._duties.release_all()
        self._start_lease_calls()

    @mailbox.handles(runner_messages.RunnersListed)
    def _set_runners(self, message: runner_messages.RunnersListed) -> None:
        self._runners = {runner.name: runner for runner in message.runners}

    @mailbox.handles(_LeaseCallEnded)
    def _lease_call_ended(self, message: _LeaseCallEnded) -> None:
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

    @mailbox.handles(order_sender.OrderResult)
    def _order_ended(self, message: order_sender.OrderResult) -> None:
        pool_orders = self._orders.get(message.duty)
        if message.highest_fencing:
            logs.event(
                "order_refused",
                duty=message.duty,
                runner=message.runner,
                fencing=message.highest_fencing,
            )
            self._duties.fencing_rejected(
                message.duty, message.highest_fencing
            )
        if pool_orders is None:
            return
        if message.sent:
            pool_orders.sent(message.runner)
        else:
            pool_orders.not_sent(message.runner)

    @mailbox.handles(order_sender.ReadBackResult)
    def _read_back_ended(self, message: order_sender.ReadBackResult) -> None:
        pool_orders = self._orders.get(message.duty)
        if pool_orders is None:
            return
        if message.target is None:
            pool_orders.not_sent(message.runner)
        else:
            pool_orders.target_read(message.runner, message.target)

    @mailbox.handles(dispatcher_messages.GetStatus)
    def _status(
        self, message: dispatcher_messages.GetStatus
    ) -> dict[str, object]:
        return {
            "duties": {
                name: self._duties.may_order(name)
                for name in self._duties.held
            },
            "orders_unconfirmed": {
                name: pool_orders.unconfirmed
                for name, pool_orders in self._orders.items()
            },
        }

    def tick(self) -> None:
        """Start the lease calls and the orders that are due."""
        self._start_lease_calls()
        self._log_lease_changes()
        for pool in self._model_pools():
            self._send_due_orders(orders_duty_name(pool), pool)

    def stopped(self) -> None:
        """Stop the threads; orders in progress end by their timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _model_pools(self) -> list[str]:
        return sorted(
            {
                entry.pool
                for entry in self._catalogue.entries.values()
                if entry.kind == catalogues.KIND_MODEL
            }
        )

    def _log_lease_changes(self) -> None:
        held = set(self._duties.held)
        for name in sorted(held - self._held):
            fencing = self._duties.may_order(name)
            logs.event("lease_taken", duty=name, fencing=fencing)
        for name in sorted(self._held - held):
            logs.event("lease_lost", duty=name)
        self._held = held

    def _send_due_orders(self, duty: str, pool: str) -> None:
        if duty not in self._held:
            self._orders.pop(duty, None)
            return
        pool_orders = self._orders.get(duty)
        if pool_orders is None:
            pool_orders = orders.Orders(
                self._clock, self._config.vm, self._incarnation
            )
            self._orders[duty] = pool_orders
        pool_runners = [r for r in self._runners.values() if r.pool == pool]
        target = self._pool_target(pool)
        new_names = {runner.name for runner in pool_runners} - set(
            pool_orders.targeted_upstreams
        )
        for runner in pool_runners:
            pool_orders.set_target(runner.name, target)
        for name in new_names:
            # Most new runners have the target in force already. After
            # sent() the target is read first, which loads no model.
            pool_orders.sent(name)
        for name in set(pool_orders.targeted_upstreams) - {
            runner.name for runner in pool_runners
        }:
            pool_orders.drop_target(name)
        for action in pool_orders.tick():
            runner = self._runners[action.upstream]
            self._start_order(duty, runner, action)

    def _start_order(
        self, duty: str, runner: runners.Runner, action: orders.OrderAction
    ) -> None:
        if isinstance(action, orders.SendOrder):
            self._threads.submit(self._order_sender.send, duty, runner, action)
        else:
            self._threads.submit(self._order_sender.read_back, duty, runner)

    def _pool_target(self, pool: str) -> orders.Target:
        """The target for each runner of a pool: the models to have loaded."""
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
        call = stores.read_call(stores.Priority.LEASE, action.name)
        self._call_store(call, action)

    @_start_lease_call.register
    def _start_write(self, action: lease_objects.WriteLease) -> None:
        call = stores.write_call(
            stores.Priority.LEASE,
            action.name,
            action.value,
            action.expected_version,
        )
        self._call_store(call, action)

    def _call_store(
        self,
        call: stores.StoreCall,
        action: lease_objects.LeaseAction,
    ) -> None:
        def ended(future: "futures.Future[typing.Any]") -> None:
            if future.exception() is None:
                self.tell(_LeaseCallEnded(action, future.result()))

        self._store.ask(call).add_done_callback(ended)


def orders_duty_name(pool: str) -> str:
    """The name of the duty to order which models a pool's runners load."""
    return f"orders/{pool}"
