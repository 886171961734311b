"""The requests of one entry VM that wait to be admitted."""

from concurrent import futures
import typing

from ..contracts import admission

from . import admission_refusals

#: Seconds after which callers should send requests again that are refused as
#: the VM stops.
STOP_RETRY_AFTER_S = 1.0


class WaitingAdmissions:
    """The futures of requests without a verdict, by request ID."""

    __slots__ = ("_futures",)

    def __init__(self) -> None:
        self._futures: dict[str, futures.Future[typing.Any]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def add(
        self, request_id: str, future: "futures.Future[typing.Any]"
    ) -> None:
        """Add a request.

        :param future: gets None if the request is admitted, else a Refusal.
        """
        self._futures[request_id] = future

    def forget(self, request_id: str) -> None:
        """Remove a request that its caller has withdrawn."""
        self._futures.pop(request_id, None)

    def settle(self, verdicts: list[admission.Verdict]) -> None:
        """Pass verdicts on to the requests that still wait for them."""
        for verdict in verdicts:
            future = self._futures.pop(verdict.request_id, None)
            if future is None:
                continue
            if isinstance(verdict, admission.Admitted):
                future.set_result(None)
            else:
                future.set_exception(admission_refusals.refusal_of(verdict))

    def refuse_all(self) -> None:
        """Refuse all requests that wait, because the VM stops."""
        self.settle(
            [
                admission.Refused(
                    request_id,
                    admission.RefusalReason.OVERLOAD,
                    STOP_RETRY_AFTER_S,
                )
                for request_id in self._futures
            ]
        )
