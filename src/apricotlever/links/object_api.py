"""Client of the platform's object API."""

import collections.abc
import typing
import urllib.parse

from returns import result

from . import _platform_http
from . import platform_errors

Json = typing.Any
TookEffect = typing.Callable[["Stored"], bool]

VALUE_BYTES_MAX = 1_000_000
READ_BACK_ATTEMPTS = 3


class Stored:
    """An object as it stands in the store.

    :param name: its name.
    :param version: the store's revision at its last write.
    :param value: parsed JSON.
    """

    __slots__ = ("name", "version", "value")

    def __init__(self, name: str, version: int, value: Json) -> None:
        self.name = name
        self.version = version
        self.value = value


class Listing:
    """Objects whose names share a prefix.

    :param items: the objects.
    :param version: the store's revision; a watch may go on from it.
    """

    __slots__ = ("items", "version")

    def __init__(self, items: tuple[Stored, ...], version: int) -> None:
        self.items = items
        self.version = version


class Events:
    """What a watch saw.

    :param events: the changes in order; a deleted object's value is None.
    :param version: the revision to watch on from.
    """

    __slots__ = ("events", "version")

    def __init__(self, events: tuple[Stored, ...], version: int) -> None:
        self.events = events
        self.version = version


class ObjectApi(_platform_http.Service):
    """Versioned objects with conditional updates and watches.

    One instance may be used by many threads; each has its own connection.

    :param url: where the object API is.
    :param timeout_s: for a call that is not a watch.
    """

    __slots__ = ()

    def get(self, name: str) -> platform_errors.Outcome[Stored]:
        """Read an object.

        :returns: it, or ``NotFound``, ``Unavailable``, ``Throttled``.
        """
        return self._read(_object_path(name), _stored)

    def put(
        self, name: str, value: Json, expected_version: int | None
    ) -> platform_errors.Outcome[Stored]:
        """Write an object if its version is the expected one.

        :param expected_version: None to create it, and only that.
        :returns: what was stored, or ``Conflict``, ``Ambiguous``,
            ``Unavailable``, ``Throttled``, ``TooLarge``.
        """

        def reader(document: Json) -> Stored:
            return Stored(name, int(document["version"]), value)

        headers = _condition(expected_version)
        body = {"value": value}
        return self._write("PUT", _object_path(name), body, reader, headers)

    def delete(
        self, name: str, expected_version: int | None = None
    ) -> platform_errors.Outcome[int]:
        """Delete an object.

        :param expected_version: None for whichever version there is.
        :returns: the store's revision, or as :meth:`put`.
        """
        headers = {}
        if expected_version is not None:
            headers = _condition(expected_version)
        path = _object_path(name)
        return self._write("DELETE", path, None, _version, headers)

    def list(self, prefix: str) -> platform_errors.Outcome[Listing]:
        """Read every object whose name starts with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._read(f"/v1/objects?{query}", _listing)

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> platform_errors.Outcome[Events]:
        """Wait for changes under a prefix.

        :param after: the revision to watch from.
        :param timeout_s: how long to wait; then the events are empty.
        :returns: the changes, or ``Compacted``, ``Unavailable``.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "timeout_s": timeout_s}
        )
        return self._read(f"/v1/watch?{query}", _events, timeout_s)

    def put_reading_back(
        self,
        name: str,
        value: Json,
        expected_version: int | None,
        took_effect: TookEffect | None = None,
        attempts: int = READ_BACK_ATTEMPTS,
    ) -> platform_errors.Outcome[Stored]:
        """Write as :meth:`put`, and find out what an ambiguous one did.

        A write whose answer was lost may have taken effect. Repeated
        blindly, it would meet its own version, be told of a conflict and
        be taken for refused though it is in force. So the object is read
        before the write is repeated, and once more on a conflict after an
        ambiguous write, which may have arrived late. A repeat is safe: it
        carries the same condition, so the two can't both take effect.

        :param took_effect: whether an object shows this write; by default
            if its value equals. The value should hold something that no
            other writer writes.
        :param attempts: writes at most; at least one.
        :returns: as :meth:`put`; ``Ambiguous`` only if the object could
            not be read back, or all attempts were ambiguous.
        """
        shows = took_effect or (lambda stored: bool(stored.value == value))
        outcome = self.put(name, value, expected_version)
        was_ambiguous = _failed_by(outcome, platform_errors.Ambiguous)
        for _ in range(attempts - 1):
            if not was_ambiguous or not _failed_by(outcome, *_UNSETTLED):
                return outcome
            seen = self.get(name)
            settled = _settle(seen, expected_version, shows, outcome)
            if settled is not None:
                return settled
            outcome = self.put(name, value, expected_version)
        return self._last_look(name, was_ambiguous, shows, outcome)

    def _last_look(
        self,
        name: str,
        was_ambiguous: bool,
        shows: TookEffect,
        outcome: platform_errors.Outcome[Stored],
    ) -> platform_errors.Outcome[Stored]:
        if not was_ambiguous or not _failed_by(outcome, *_UNSETTLED):
            return outcome
        match self.get(name):
            case result.Success(stored) if shows(stored):
                return result.Success(stored)
        if _failed_by(outcome, platform_errors.Conflict):
            return outcome
        return result.Failure(_unknown(outcome))


# After an ambiguous write, none of these says what became of it.
_UNSETTLED: tuple[type[platform_errors.PlatformError], ...] = (
    platform_errors.Ambiguous,
    platform_errors.Conflict,
    platform_errors.Unavailable,
    platform_errors.Throttled,
)


def _failed_by(
    outcome: platform_errors.Outcome[typing.Any],
    *kinds: type[platform_errors.PlatformError],
) -> bool:
    match outcome:
        case result.Failure(error):
            return isinstance(error, kinds)
    return False


def _settle(
    seen: platform_errors.Outcome[Stored],
    expected_version: int | None,
    shows: TookEffect,
    outcome: platform_errors.Outcome[Stored],
) -> platform_errors.Outcome[Stored] | None:
    """What a read after an ambiguous write tells; None to write again."""
    match seen:
        case result.Success(stored):
            if shows(stored):
                return result.Success(stored)
            if stored.version == expected_version:
                return None
            conflict = platform_errors.Conflict(stored.name, stored.version)
            return result.Failure(conflict)
        case result.Failure(platform_errors.NotFound()):
            if expected_version is None:
                return None
            return result.Failure(platform_errors.Conflict("object", 0))
    return result.Failure(_unknown(outcome))


def _unknown(
    outcome: platform_errors.Outcome[Stored],
) -> platform_errors.Ambiguous:
    message = outcome.failure().message
    return platform_errors.Ambiguous(f"outcome unknown: {message}")


def _object_path(name: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(name, safe="/")


def _condition(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


def _stored(document: Json) -> Stored:
    return Stored(
        document["name"], int(document["version"]), document["value"]
    )


def _all_stored(
    documents: collections.abc.Iterable[Json],
) -> tuple[Stored, ...]:
    return tuple(map(_stored, documents))


def _listing(document: Json) -> Listing:
    return Listing(_all_stored(document["items"]), int(document["version"]))


def _events(document: Json) -> Events:
    return Events(_all_stored(document["events"]), int(document["version"]))


def _version(document: Json) -> int:
    return int(document["version"])
