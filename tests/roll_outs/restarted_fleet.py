"""A simulated roll-out on VMs that are killed, and forget their counts."""

import random

from apricotlever.roll_outs import controller
from apricotlever.roll_outs import model
from bench import _roll_out_simulation as simulation
from bench import roll_outs

VMS = 7


class RestartedFleet(simulation.Simulation):
    """A roll-out beside kills.

    :param fault: a key of :data:`.roll_outs.FAULTS`.
    :param times: when VMs are killed, in seconds after the order.
    :param in_turn: whether each kill meets one VM, the next one.
    """

    def __init__(self, fault, times, in_turn, seed):
        routes, calls_per_s, runners = roll_outs.LOADS["plain"]
        super().__init__(
            simulation.Load(
                VMS, routes, calls_per_s, runners, roll_outs.DURATION_S
            ),
            roll_outs.FAULTS[fault],
            model.RollOutLimits(),
            controller.RollOutController,
            seed,
        )
        self._seed = seed
        self._in_turn = in_turn
        self._kills = 0
        self._starts = [float("-inf")] * len(self._vms)
        for at in times:
            self._schedule(at, self._kill)

    def _kill(self):
        number = self._kills
        self._kills += 1
        killed = (
            [number % len(self._vms)]
            if self._in_turn
            else range(len(self._vms))
        )
        for index in killed:
            self._restart(index)
        for vm in self._vms:
            vm.set_process_starts(self._starts)
        if not self._in_turn:
            self._published.clear()

    def _restart(self, index):
        orders = self._vms[index].orders
        vm = controller.RollOutController(
            self._clock,
            random.Random(f"{self._seed} {index} {self._kills}"),
            self._limits,
        )
        for order in orders:
            vm.merge_order(order)
        is_booted = self._elapsed_s >= simulation.BOOT_S
        vm.set_runners([*self._old, *(self._new if is_booted else ())])
        self._vms[index] = vm
        self._starts[index] = self._clock.wall()
