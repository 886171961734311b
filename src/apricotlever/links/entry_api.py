"""Client of an entry VM's HTTP interface for operators."""

import typing

from returns import result

from .. import documents
from .. import errors
from .. import settings
from . import _http_client

Json = typing.Any

DEFAULT_TIMEOUT_S = 2.0
STATUS_OK = 200


class EntryUnreachable(errors.ApricotleverError):
    """No valid response came from an entry VM."""


Outcome = result.Result[Json, EntryUnreachable]


class EntryApi:
    """Reads the state of one entry VM for operators.

    :param address: the address on which the VM listens for callers.
    :param timeout_s: limit in seconds for each call.
    :param key: the operators' key; empty to send none.
    """

    __slots__ = ("_address", "_link", "_timeout_s", "_headers")

    def __init__(
        self,
        address: settings.Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        key: str = "",
    ) -> None:
        self._address = address
        self._link = _http_client.HttpClient(f"http://{address}")
        self._timeout_s = timeout_s
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    @property
    def address(self) -> settings.Address:
        """The address on which the VM listens for callers."""
        return self._address

    def status(self) -> Outcome:
        """Read the VM's status, with the versions in force."""
        return self._get("/v1/status")

    def entries(self) -> Outcome:
        """Read the list of entry VMs that accept new calls."""
        return self._get("/v1/entries")

    def histograms(self) -> Outcome:
        """Read the VM's latency histograms, in encoded form."""
        return self._get("/v1/histograms")

    def close(self) -> None:
        """Close this thread's connection."""
        self._link.close()

    def _get(self, path: str) -> Outcome:
        try:
            response = self._link.read_with_retry(
                "GET", path, self._timeout_s, self._headers
            )
            document = documents.loads(response.body)
        except (_http_client.ExchangeFailed, documents.NotJson) as error:
            return self._failed(path, error.message)
        if response.status != STATUS_OK or not isinstance(document, dict):
            return self._failed(path, f"status {response.status}")
        return result.Success(document)

    def _failed(self, path: str, reason: str) -> Outcome:
        message = f"entry VM at {self._address}: {path}: {reason}"
        return result.Failure(EntryUnreachable(message))
