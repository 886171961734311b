"""Ways in which each VM decides alone on calls to fragile runners."""

import collections

from apricotlever.contracts import token_bucket
from bench import _brittle_fleet
from bench import _brittle_runner

#: Seconds for which a runner is avoided that rejected a call.
AVOID_S = 1.0


class Today:
    """The fewest known calls; a call ends after some rejections."""

    def __init__(self, fleet: _brittle_fleet.Fleet) -> None:
        self.fleet = fleet

    def place(self, call: _brittle_runner.Call) -> None:
        """Choose by the records."""
        usable = self.usable(call)
        if not usable:
            self.fleet.refuse(call)
            return
        self.fleet.send_call(call, self.least_loaded(call.vm, usable))

    def ended(
        self, call: _brittle_runner.Call, runner: int, rejected: bool
    ) -> None:
        """Do nothing."""

    def usable(self, call: _brittle_runner.Call) -> list[int]:
        """The runners that the call may be sent to."""
        return self.fleet.usable(call)

    def least_loaded(self, vm: int, usable: list[int]) -> int:
        """The runner with the fewest known calls."""
        fleet = self.fleet
        return min(
            usable,
            key=lambda n: (fleet.known_calls(vm, n), fleet.rng.random()),
        )


class TwoChoices(Today):
    """The less loaded of two random runners, by the known calls."""

    def least_loaded(self, vm: int, usable: list[int]) -> int:
        """Compare two runners."""
        pair = self.fleet.rng.sample(usable, min(2, len(usable)))
        return super().least_loaded(vm, pair)


class StopAtFirst(Today):
    """A VM avoids a runner for a second that has rejected one of its calls."""

    def __init__(self, fleet: _brittle_fleet.Fleet) -> None:
        super().__init__(fleet)
        self._avoided: dict[tuple[int, int], float] = {}

    def usable(self, call: _brittle_runner.Call) -> list[int]:
        """Leave the avoided runners out."""
        now, avoided = self.fleet.clock.now(), self._avoided
        return [
            n
            for n in super().usable(call)
            if avoided.get((call.vm, n), 0.0) <= now
        ]

    def ended(
        self, call: _brittle_runner.Call, runner: int, rejected: bool
    ) -> None:
        """Avoid a runner that rejects."""
        if rejected and self.fleet.is_fragile(runner):
            now = self.fleet.clock.now()
            self._avoided[call.vm, runner] = now + AVOID_S


class EqualParts(Today):
    """Each VM risks an equal part of the rejections, kept in a bucket.

    A call takes its possible rejection from the bucket, and gives it back if
    it is taken.
    """

    def __init__(self, fleet: _brittle_fleet.Fleet) -> None:
        super().__init__(fleet)
        part = fleet.case.bears / fleet.case.vms

        def fill() -> token_bucket.TokenBucket:
            bucket = token_bucket.TokenBucket(
                fleet.clock, part, max(1.0, part)
            )
            bucket.charge(max(0.0, 1.0 - part))
            return bucket

        self._buckets: dict[tuple[int, int], token_bucket.TokenBucket] = (
            collections.defaultdict(fill)
        )

    def usable(self, call: _brittle_runner.Call) -> list[int]:
        """Leave runners out for which the VM has no rejection to risk."""
        return [
            n
            for n in super().usable(call)
            if not self.fleet.is_fragile(n)
            or self._buckets[call.vm, n].wait_s(1.0) <= 0.0
        ]

    def place(self, call: _brittle_runner.Call) -> None:
        """Take a rejection from the bucket."""
        usable = self.usable(call)
        if not usable:
            self.fleet.refuse(call)
            return
        runner = self.least_loaded(call.vm, usable)
        if self.fleet.is_fragile(runner):
            self._buckets[call.vm, runner].charge(1.0)
        self.fleet.send_call(call, runner)

    def ended(
        self, call: _brittle_runner.Call, runner: int, rejected: bool
    ) -> None:
        """Give the rejection back if there was none."""
        if not rejected and self.fleet.is_fragile(runner):
            self._buckets[call.vm, runner].charge(-1.0)
