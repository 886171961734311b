"""An entry VM that applies whatever the store returns, item by item."""

import hashlib
import threading
import time
import typing

from standins import _http
from tests.support import http

POLL_S = 0.02
ITEM_S = 0.03


class Follower(_http.StandIn):
    """Polls the store and applies whatever catalogue it returns.

    It neither rejects older versions nor applies a version atomically.

    :param store: ``host:port`` of the object API.
    """

    def __init__(self, store: str) -> None:
        super().__init__()
        self._store = store
        self._version = 0
        self._hashes: dict[str, str] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def poll(self, store: str) -> None:
        """Poll another store from now on."""
        self._store = store

    @_http.route("GET", "/v1/status")
    def _status(self, request: _http.Request) -> _http.Response:
        return _http.Response(200, {"catalogue_version": self._version})

    @_http.route("GET", "/v1/requests/(.+)")
    def _request(
        self, request: _http.Request, request_id: str
    ) -> _http.Response:
        key = request.header("Authorization").removeprefix("Bearer ")
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        known = key_hash in self._hashes.values()
        return _http.Response(404 if known else 400, {})

    def _poll(self) -> None:
        while not self._stopping.wait(POLL_S):
            try:
                reply = http.call(
                    self._store, "GET", "/v1/objects/catalogue/current"
                )
            except OSError:
                continue
            if reply.status == 200:
                self._apply(reply.payload)

    def _apply(self, stored: dict[str, typing.Any]) -> None:
        if stored["version"] == self._version:
            return
        self._version = stored["version"]
        for name, customer in stored["value"]["customers"].items():
            self._hashes[name] = customer["key_sha256"]
            time.sleep(ITEM_S)
