"""A fake of an entry VM: what it tells operators."""

import typing

from apricotlever import histograms
from standins import _http


class EntryVm(_http.StandIn):
    """Answers status, entries and histograms.

    :param vm: its name.
    :param version: the catalogue version in force at it.

    ``views`` holds the lists of peers that it tells, one at each reading
    of its status; the last one stays.
    """

    def __init__(self, vm: str, version: int) -> None:
        super().__init__()
        self.vm = vm
        self.version = version
        self.views: list[list[dict[str, str]]] = [[]]
        self._histograms = histograms.Histograms()
        self._histograms.record("first_token", "belem", "desk", 0.5)

    @_http.route("GET", "/v1/status")
    def _status(self, request: _http.Request) -> _http.Response:
        peers = self.views.pop(0) if self.views[1:] else self.views[0]
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
