"""A fake entry VM that answers operators' queries."""

import typing

from apricotlever import histograms
from standins import _http


class FakeEntryVm(_http.StandIn):
    """Answers queries for status and histograms.

    :param vm: name of the VM.
    :param version: catalogue version in force at the VM.

    ``peer_lists`` holds the peers that successive status queries return,
    one list for each query; the last list is returned repeatedly.
    """

    def __init__(self, vm: str, version: int) -> None:
        super().__init__()
        self.vm = vm
        self.version = version
        self.peer_lists: list[list[dict[str, str]]] = [[]]
        self._histograms = histograms.Histograms()
        self._histograms.record("first_token", "belem", "desk", 0.5)

    @_http.route("GET", "/v1/status")
    def _status(self, request: _http.Request) -> _http.Response:
        peers = (
            self.peer_lists.pop(0)
            if self.peer_lists[1:]
            else self.peer_lists[0]
        )
        document: dict[str, typing.Any] = {
            "vm": self.vm,
            "catalogue_version": self.version,
            "peers": peers,
            "cost": [
                {"entry": "check", "customer": "belem", "spent": 1.5},
            ],
        }
        return _http.Response(200, document)

    @_http.route("GET", "/v1/histograms")
    def _show_histograms(self, request: _http.Request) -> _http.Response:
        encoded = self._histograms.encoded()
        return _http.Response(200, {"vm": self.vm, "histograms": encoded})
