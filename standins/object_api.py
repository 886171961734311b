"""Stand-in for the platform's object API: versions, updates and watches.

``python -m standins.object_api --port 0``
"""

import bisect
import collections
import json
import sys
import typing

from . import _http
from . import _long_polls
from . import _rate_limiter
from . import _server

MAX_VALUE_BYTES = 1_000_000
KEPT_EVENTS = 20_000
DEFAULT_FAULTS: dict[str, typing.Any] = {"calls_per_s": None}


class _StoredValue:
    """A value and the revision that wrote it."""

    __slots__ = ("version", "value")

    def __init__(self, version: int, value: typing.Any) -> None:
        self.version = version
        self.value = value


class _ChangeEvent:
    """A change of an object; its value is None for a deletion."""

    __slots__ = ("version", "name", "value")

    def __init__(self, version: int, name: str, value: typing.Any) -> None:
        self.version = version
        self.name = name
        self.value = value

    def payload(self) -> dict[str, typing.Any]:
        """The event in the format of a watch response."""
        return {
            "name": self.name,
            "version": self.version,
            "value": self.value,
        }


class ObjectApi(_http.StandIn):
    """Stores named JSON values under one global revision counter."""

    def __init__(self) -> None:
        super().__init__(DEFAULT_FAULTS)
        self._long_polls = _long_polls.LongPolls()
        self._lock = self._long_polls.condition
        self._objects: dict[str, _StoredValue] = {}
        self._events: list[_ChangeEvent] = []
        self._revision = 0
        self._compacted_revision = 0
        self._rate_limiter = _rate_limiter.RateLimiter()
        self._counts: collections.Counter[str] = collections.Counter()
        self.faults.add_listener(self._long_polls.notify)

    def counts(self) -> dict[str, typing.Any]:
        """Calls by kind, the number of waiting watches, and the revision."""
        return {
            **self._counts,
            "watches_waiting": self._long_polls.waiting_count,
            "revision": self._revision,
        }

    def clear_counts(self) -> None:
        """Reset the counters; the objects stay."""
        self._counts.clear()

    def before_dispatch(self, request: _http.Request) -> _http.Response | None:
        """Count the call, and refuse it if it exceeds the rate limit."""
        with self._lock:
            self._counts["calls"] += 1
        if not self._rate_limiter.try_acquire(self.faults["calls_per_s"]):
            return None
        with self._lock:
            self._counts["throttled"] += 1
        return _http.Response(
            429, {"error": "throttled"}, [("Retry-After", "1")]
        )

    @_http.route("GET", "/v1/objects/(.+)")
    def _get(self, request: _http.Request, name: str) -> _http.Response:
        with self._lock:
            self._counts["get"] += 1
            found = self._objects.get(name)
        if found is None:
            return _http.Response(404, {"error": "not_found"})
        return _http.Response(200, _object_payload(name, found))

    @_http.route("PUT", "/v1/objects/(.+)")
    def _put(self, request: _http.Request, name: str) -> _http.Response:
        value = request.json()["value"]
        if _encoded_bytes(value) > MAX_VALUE_BYTES:
            return _http.Response(413, {"error": "too_large"})
        with self._lock:
            self._counts["put"] += 1
            current = self._version_of(name)
            if not _precondition_holds(request, current):
                self._counts["conflict"] += 1
                return _http.Response(412, {"name": name, "version": current})
            version = self._record_change(name, value)
            self._objects[name] = _StoredValue(version, value)
        return _http.Response(200, {"name": name, "version": version})

    @_http.route("DELETE", "/v1/objects/(.+)")
    def _delete(self, request: _http.Request, name: str) -> _http.Response:
        with self._lock:
            self._counts["delete"] += 1
            current = self._version_of(name)
            if not current:
                return _http.Response(404, {"error": "not_found"})
            if not _precondition_holds(request, current):
                self._counts["conflict"] += 1
                return _http.Response(412, {"name": name, "version": current})
            del self._objects[name]
            version = self._record_change(name, None)
        return _http.Response(200, {"version": version})

    @_http.route("GET", "/v1/objects")
    def _list(self, request: _http.Request) -> _http.Response:
        prefix = request.params.get("prefix", "")
        with self._lock:
            self._counts["list"] += 1
            items = [
                _object_payload(name, stored)
                for name, stored in sorted(self._objects.items())
                if name.startswith(prefix)
            ]
            revision = self._revision
        return _http.Response(200, {"items": items, "version": revision})

    @_http.route("GET", "/v1/watch")
    def _watch(self, request: _http.Request) -> _http.Response:
        prefix = request.params.get("prefix", "")
        after = int(request.params["after"])
        timeout_s = float(request.params.get("timeout_s", "30"))
        with self._lock:
            self._counts["watch"] += 1
        self._long_polls.wait_until(
            request,
            lambda: after < self._compacted_revision
            or self.faults["down"]
            or self._events_after(after, prefix),
            timeout_s,
        )
        if self.faults["down"]:
            return _http.Response(503, {"error": "unavailable"})
        with self._lock:
            if after < self._compacted_revision:
                return _http.Response(410, {"error": "compacted"})
            events = [
                event.payload() for event in self._events_after(after, prefix)
            ]
            version = max(after, self._revision)
        return _http.Response(200, {"events": events, "version": version})

    @_http.route("POST", "/control/compact")
    def _compact(self, request: _http.Request) -> _http.Response:
        with self._lock:
            before = int(request.json().get("before", self._revision))
            self._compact_events(before)
            self._lock.notify_all()
        return _http.Response(200, {"compacted": self._compacted_revision})

    def _version_of(self, name: str) -> int:
        found = self._objects.get(name)
        return found.version if found is not None else 0

    def _record_change(self, name: str, value: typing.Any) -> int:
        self._revision += 1
        self._events.append(_ChangeEvent(self._revision, name, value))
        if len(self._events) > 2 * KEPT_EVENTS:
            self._compact_events(self._events[-KEPT_EVENTS].version)
        self._lock.notify_all()
        return self._revision

    def _compact_events(self, revision: int) -> None:
        first = self._index_after(revision)
        del self._events[:first]
        self._compacted_revision = max(
            self._compacted_revision, min(revision, self._revision)
        )

    def _index_after(self, revision: int) -> int:
        return bisect.bisect_right(
            self._events, revision, key=lambda event: event.version
        )

    def _events_after(self, after: int, prefix: str) -> list[_ChangeEvent]:
        return [
            event
            for event in self._events[self._index_after(after) :]
            if event.name.startswith(prefix)
        ]


def _object_payload(name: str, stored: _StoredValue) -> dict[str, typing.Any]:
    return {"name": name, "version": stored.version, "value": stored.value}


def _encoded_bytes(value: typing.Any) -> int:
    return len(json.dumps(value, separators=(",", ":")).encode())


def _precondition_holds(request: _http.Request, current: int) -> bool:
    """Whether the precondition of a write holds.

    The precondition is in a header, or in the query parameter ``at`` for
    clients that send no such headers. The version 0 requires that the object
    does not exist.
    """
    if request.header("If-None-Match") == "*":
        return current == 0
    required = request.header("If-Match") or request.params.get("at")
    return not required or int(required) == current


def main(arguments: list[str]) -> int:
    """Serve an empty store until killed.

    :param arguments: the command line without the program name.
    """
    parser = _server.argument_parser("object API stand-in")
    return _server.serve(ObjectApi(), parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
