"""Slots of runners, requests for them and grants.

A slot is room for one call at a runner (see :mod:`.slot_ledger`).
"""

import typing


class Slots:
    """The slots of one runner.

    :param runner: the runner's ID.
    :param count: number of calls that it runs at the same time.
    """

    __slots__ = ("runner", "service", "count", "data_centre")

    def __init__(
        self, runner: str, service: str, count: int, data_centre: str
    ) -> None:
        self.runner = runner
        self.service = service
        self.count = count
        self.data_centre = data_centre


class Request:
    """A request for a slot.

    :param excluded: runners that must not be granted.
    :param data_centre: data centre of the asking VM.
    :param rank: of the call's route; 0 is the most urgent.
    :param wait_s: how long the call can wait for a slot, in seconds.
    :param lease_s: seconds until the call ends at the latest.
    """

    __slots__ = (
        "service",
        "excluded",
        "data_centre",
        "rank",
        "wait_s",
        "lease_s",
    )

    def __init__(
        self,
        service: str,
        excluded: typing.Collection[str],
        data_centre: str,
        rank: int,
        wait_s: float,
        lease_s: float,
    ) -> None:
        self.service = service
        self.excluded = excluded
        self.data_centre = data_centre
        self.rank = rank
        self.wait_s = wait_s
        self.lease_s = lease_s


class Grant:
    """A slot that was granted to a call which waited for it."""

    __slots__ = ("process", "number", "runner")

    def __init__(self, process: str, number: int, runner: str) -> None:
        self.process = process
        self.number = number
        self.runner = runner
