"""What all calls of this VM share."""

from ..contracts import retry_allowance
from ..contracts import usage_windows

from . import dialects
from . import helpers
from . import response_room
from . import upstreams


class CallContext:
    """The parts of this VM that a call's attempts use.

    :param dialect: translates the protocols of callers and runners.
    :param upstreams_: the runners and this VM's connections to them.
    :param budget: the allowance of retries to runners.
    :param usage: the customers' call counts by time window.
    :param helpers_: the VMs that run calls while this one reaches no runner.
    :param responses: room for whole responses.
    """

    __slots__ = (
        "_last_attempt_number",
        "budget",
        "dialect",
        "helpers",
        "responses",
        "upstreams",
        "usage",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        upstreams_: upstreams.Upstreams,
        budget: retry_allowance.RetryAllowance,
        usage: usage_windows.UsageWindows,
        helpers_: helpers.Helpers,
        responses: response_room.ResponseRoom,
    ) -> None:
        self.responses = responses
        self.dialect = dialect
        self.upstreams = upstreams_
        self.budget = budget
        self.usage = usage
        self.helpers = helpers_
        self._last_attempt_number = 0

    def next_attempt_number(self) -> int:
        """Return a number that is unique among this VM's attempts."""
        self._last_attempt_number += 1
        return self._last_attempt_number
