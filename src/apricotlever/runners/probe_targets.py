"""Chooses at which runners a VM checks whether it reaches any.

Runners of one service, or of one data centre, may all be down at once. So the
choice spreads over services and data centres, and includes the runner that
the VM reached last.
"""

import random
import typing

from . import connection_failures

#: Number of runners, of services and of data centres at which connections
#: must fail before a VM takes itself for isolated; fewer if fewer are listed.
MIN_FAILED = 3
#: Least number of failed probes, and of failures with those of calls.
MIN_FAILED_PROBES = 2


class Place:
    """Where a runner belongs: those of one place may fail together.

    :param service: name of its service.
    :param data_centre: name of its data centre.
    """

    __slots__ = ("service", "data_centre")

    def __init__(self, service: str = "", data_centre: str = "") -> None:
        self.service = service
        self.data_centre = data_centre


class ProbeTargets:
    """The listed runners, and which of them to probe next.

    :param rng: orders the runners, so that VMs don't probe the same ones.
    """

    __slots__ = (
        "_chosen",
        "_data_centres",
        "_places",
        "_probed",
        "_rng",
        "_services",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: Places by runner ID, in the order in which runners are probed.
        self._places: dict[str, Place] = {}
        self._services = self._data_centres = 0
        self._chosen = 0
        #: Number of the last probe of each runner.
        self._probed: dict[str, int] = {}

    @property
    def names(self) -> typing.KeysView[str]:
        """IDs of the listed runners."""
        return self._places.keys()

    @property
    def many(self) -> int:
        """How many failed runners are a reason to doubt the VM's own paths."""
        return min(MIN_FAILED, len(self._places))

    def set_runners(
        self, ids: typing.Iterable[str], known: typing.Mapping[str, Place]
    ) -> None:
        """Replace the listed runners.

        :param ids: IDs of the runners.
        :param known: their places by ID; all others are at one place.
        """
        other = Place()
        places = {name: known.get(name, other) for name in ids}
        if places.keys() != self._places.keys():
            order = list(places)
            self._rng.shuffle(order)
            self._probed = {
                name: number
                for name, number in self._probed.items()
                if name in places
            }
            self._places = {name: places[name] for name in order}
        else:
            self._places.update(places)
        found = places.values()
        self._services = len({place.service for place in found})
        self._data_centres = len({place.data_centre for place in found})

    def suffice(
        self,
        failed: typing.Collection[str],
        probed: typing.Collection[str],
        failures: int,
        reached: str | None,
    ) -> bool:
        """Whether failures show that no connection to any runner opens.

        :param failed: IDs of the listed runners that failed.
        :param probed: those of them that failed in probes.
        :param failures: number of failures in a row.
        :param reached: the runner that was reached last, which must be among
            the failed ones while it is listed; None for none.
        """
        return (
            len(probed) >= min(MIN_FAILED_PROBES, len(self._places))
            and failures >= MIN_FAILED_PROBES
            and self._covered(failed, reached)
        )

    def all_fail(
        self,
        failures: connection_failures.ConnectionFailures,
        reached: str | None,
        after: float = float("-inf"),
    ) -> bool:
        """Whether connections to runners have failed everywhere.

        :param reached: the runner that was reached last; None for none.
        :param after: only failures after this time count.
        """
        return self.suffice(
            failures.recent(after),
            failures.recent_probes(after),
            failures.count,
            reached,
        )

    def choose(
        self, tried: typing.Collection[str], reached: str | None
    ) -> str | None:
        """Choose a runner for the next probe.

        The runner that was reached last goes first, then those of services and
        data centres without any tried runner, then those not probed for the
        longest time.

        :param tried: IDs of runners that failed or are being probed.
        :param reached: the runner that was reached last; None for none.
        :returns: its ID; None if all were tried.
        """
        chosen = self._best(tried)
        if reached in self._places and reached not in tried:
            chosen = reached
        if chosen is not None:
            self._chosen += 1
            self._probed[chosen] = self._chosen
        return chosen

    def _best(self, tried: typing.Collection[str]) -> str | None:
        places = [self._places[name] for name in tried if name in self._places]
        services = {place.service for place in places}
        data_centres = {place.data_centre for place in places}

        def rank(name: str) -> tuple[int, int]:
            place = self._places[name]
            known = place.service in services
            known_here = place.data_centre in data_centres
            return known + known_here, self._probed.get(name, 0)

        left = (name for name in self._places if name not in tried)
        return min(left, key=rank, default=None)

    def _covered(
        self, failed: typing.Collection[str], reached: str | None
    ) -> bool:
        """Whether some runners stand for all listed ones."""
        # A runner may leave the list while it is being probed.
        listed = [name for name in failed if name in self._places]
        if not listed or len(listed) >= len(self._places):
            return bool(listed)
        if reached in self._places and reached not in listed:
            return False
        places = [self._places[name] for name in listed]
        services = {place.service for place in places}
        data_centres = {place.data_centre for place in places}
        return (
            len(listed) >= MIN_FAILED
            and len(services) >= min(MIN_FAILED, self._services)
            and len(data_centres) >= min(MIN_FAILED, self._data_centres)
        )
