"""Client of what an entry VM tells operators."""

import typing

from returns import result

from .. import documents
from .. import errors
from .. import settings
from . import _http

Json = typing.Any

DEFAULT_TIMEOUT_S = 2.0
STATUS_FINE = 200


class EntryUnreachable(errors.ApricotleverError):
    """An entry VM gave no usable answer."""


Outcome = result.Result[Json, EntryUnreachable]


class EntryApi:
    """One entry VM, asked for its state.

    :param address: where it listens for callers.
    :param timeout_s: for each call.
    :param key: the operators' key, empty for none.
    """

    __slots__ = ("_address", "_link", "_timeout_s", "_headers")

    def __init__(
        self,
        address: settings.Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        key: str = "",
    ) -> None:
        self._address = address
        self._link = _http.HttpLink(f"http://{address}")
        self._timeout_s = timeout_s
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    @property
    def address(self) -> settings.Address:
        """Where the VM listens for callers."""
        return self._address

    def status(self) -> Outcome:
        """What is in force at the VM."""
        return self._get("/v1/status")

    def entries(self) -> Outcome:
        """The entry VMs that take new work."""
        return self._get("/v1/entries")

    def histograms(self) -> Outcome:
        """The VM's latency histograms, encoded."""
        return self._get("/v1/histograms")

    def close(self) -> None:
        """Close this thread's connection."""
        self._link.close()

    def _get(self, path: str) -> Outcome:
        try:
            answer = self._link.exchange_again(
                "GET", path, self._timeout_s, self._headers
            )
            document = documents.loads(answer.body)
        except (_http.ExchangeFailed, documents.NotJson) as error:
            return self._failed(path, error.message)
        if answer.status != STATUS_FINE or not isinstance(document, dict):
            return self._failed(path, f"status {answer.status}")
        return result.Success(document)

    def _failed(self, path: str, reason: str) -> Outcome:
        message = f"entry VM at {self._address}: {path}: {reason}"
        return result.Failure(EntryUnreachable(message))
