"""Client of the platform's object API, a store of versioned JSON objects.

Revisions number the store's writes; the version of an object is the revision
of its last write. A write names the version that it replaces, so that no
other write is overwritten unseen.
"""

import collections.abc
import typing
import urllib.parse

from returns import result

from . import _platform_client
from . import platform_errors

Json = typing.Any
ShowsWrite = typing.Callable[["PlatformObject"], bool]

MAX_VALUE_BYTES = 1_000_000
READ_BACK_ATTEMPTS = 3


class PlatformObject:
    """An object and the version at which the store holds it.

    :param name: the object's name.
    :param version: the store's revision at the object's last write.
    :param value: parsed JSON.
    """

    __slots__ = ("name", "version", "value")

    def __init__(self, name: str, version: int, value: Json) -> None:
        self.name = name
        self.version = version
        self.value = value


class Listing:
    """The objects whose names share a prefix.

    :param items: the objects.
    :param version: the store's revision; a watch may continue from it.
    """

    __slots__ = ("items", "version")

    def __init__(
        self, items: tuple[PlatformObject, ...], version: int
    ) -> None:
        self.items = items
        self.version = version


class WatchResult:
    """The changes that a watch returned.

    :param events: the changes in order; a deleted object's value is None.
    :param version: the revision from which the next watch continues.
    """

    __slots__ = ("events", "version")

    def __init__(
        self, events: tuple[PlatformObject, ...], version: int
    ) -> None:
        self.events = events
        self.version = version


class ObjectApi(_platform_client.PlatformClient):
    """Client for versioned objects with conditional writes and watches.

    One instance may be used by many threads; each has its own connection.

    :param url: base URL of the object API.
    :param timeout_s: limit in seconds for a call that is not a watch.
    """

    __slots__ = ()

    def get(self, name: str) -> platform_errors.Outcome[PlatformObject]:
        """Read an object of the store by name.

        :returns: the object, or ``NotFound``, ``Unavailable``, ``Throttled``.
        """
        return self._read(_object_path(name), _stored)

    def put(
        self, name: str, value: Json, expected_version: int | None
    ) -> platform_errors.Outcome[PlatformObject]:
        """Write an object if its version is the expected one.

        :param name: the object's name.
        :param value: the new value, written as JSON.
        :param expected_version: None to write only if the object does not
            exist yet.
        :returns: the stored object, or ``Conflict``, ``Ambiguous``,
            ``Unavailable``, ``Throttled``, ``ValueTooLarge``.
        """

        def reader(document: Json) -> PlatformObject:
            return PlatformObject(name, int(document["version"]), value)

        headers = _precondition_headers(expected_version)
        body = {"value": value}
        return self._write("PUT", _object_path(name), body, reader, headers)

    def delete(
        self, name: str, expected_version: int | None = None
    ) -> platform_errors.Outcome[int]:
        """Delete an object.

        :param name: the object's name.
        :param expected_version: None to delete whichever version exists.
        :returns: the store's revision, or an error as from :meth:`put`.
        """
        headers = {}
        if expected_version is not None:
            headers = _precondition_headers(expected_version)
        path = _object_path(name)
        return self._write("DELETE", path, None, _version, headers)

    def list(self, prefix: str) -> platform_errors.Outcome[Listing]:
        """Read all objects whose names start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._read(f"/v1/objects?{query}", _listing)

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> platform_errors.Outcome[WatchResult]:
        """Wait for changes of objects whose names start with a prefix.

        :param prefix: prefix of the names of the objects to watch.
        :param after: the revision after which changes are returned.
        :param timeout_s: how long to wait in seconds; the result holds no
            changes if there are none in this time.
        :returns: the changes, or ``Compacted``, ``Unavailable``.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "timeout_s": timeout_s}
        )
        return self._read(f"/v1/watch?{query}", _events, timeout_s)

    def put_with_read_back(
        self,
        name: str,
        value: Json,
        expected_version: int | None,
        shows_write: ShowsWrite | None = None,
        attempts: int = READ_BACK_ATTEMPTS,
    ) -> platform_errors.Outcome[PlatformObject]:
        """Write as :meth:`put`, and resolve an ambiguous result by reading.

        A write whose answer was lost may have taken effect. A blind retry
        would conflict with the version that the first attempt stored, and
        the write would count as refused although it is in force. So the
        object is read before the write is repeated, and once more after a
        conflict that follows an ambiguous write, as that write may have
        arrived late. The repeat is safe: it carries the same precondition,
        so the two writes can't both take effect.

        :param name: the object's name.
        :param value: the new value, which should hold something that no
            other writer writes.
        :param expected_version: as for :meth:`put`.
        :param shows_write: tells whether an object holds the result of this
            write; by default, whether its value equals ``value``.
        :param attempts: maximum number of writes; at least 1.
        :returns: as :meth:`put`; ``Ambiguous`` only if the object could
            not be read back, or all attempts were ambiguous.
        """
        shows = shows_write or (lambda stored: bool(stored.value == value))
        outcome = self.put(name, value, expected_version)
        was_ambiguous = _failed_with(outcome, platform_errors.Ambiguous)
        for _ in range(attempts - 1):
            if not was_ambiguous or not _failed_with(
                outcome, *_INCONCLUSIVE_ERRORS
            ):
                return outcome
            seen = self.get(name)
            settled = _resolve_ambiguity(
                seen, expected_version, shows, outcome
            )
            if settled is not None:
                return settled
            outcome = self.put(name, value, expected_version)
        return self._final_outcome(name, was_ambiguous, shows, outcome)

    def _final_outcome(
        self,
        name: str,
        was_ambiguous: bool,
        shows: ShowsWrite,
        outcome: platform_errors.Outcome[PlatformObject],
    ) -> platform_errors.Outcome[PlatformObject]:
        if not was_ambiguous or not _failed_with(
            outcome, *_INCONCLUSIVE_ERRORS
        ):
            return outcome
        match self.get(name):
            case result.Success(stored) if shows(stored):
                return result.Success(stored)
        if _failed_with(outcome, platform_errors.Conflict):
            return outcome
        return result.Failure(_outcome_unknown(outcome))


# Errors that don't tell whether an earlier ambiguous write took effect.
_INCONCLUSIVE_ERRORS: tuple[type[platform_errors.PlatformError], ...] = (
    platform_errors.Ambiguous,
    platform_errors.Conflict,
    platform_errors.Unavailable,
    platform_errors.Throttled,
)


def _failed_with(
    outcome: platform_errors.Outcome[typing.Any],
    *kinds: type[platform_errors.PlatformError],
) -> bool:
    match outcome:
        case result.Failure(error):
            return isinstance(error, kinds)
    return False


def _resolve_ambiguity(
    seen: platform_errors.Outcome[PlatformObject],
    expected_version: int | None,
    shows: ShowsWrite,
    outcome: platform_errors.Outcome[PlatformObject],
) -> platform_errors.Outcome[PlatformObject] | None:
    """Derive the outcome of an ambiguous write from a read of its object.

    :param seen: the result of the read.
    :param expected_version: the version that the write was to replace.
    :param shows: tells whether an object holds the result of the write.
    :param outcome: the failure of the write.
    :returns: the outcome, or None to repeat the write, which had no effect.
    """
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
    return result.Failure(_outcome_unknown(outcome))


def _outcome_unknown(
    outcome: platform_errors.Outcome[PlatformObject],
) -> platform_errors.Ambiguous:
    message = outcome.failure().message
    return platform_errors.Ambiguous(f"outcome unknown: {message}")


def _object_path(name: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(name, safe="/")


def _precondition_headers(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


def _stored(document: Json) -> PlatformObject:
    return PlatformObject(
        document["name"], int(document["version"]), document["value"]
    )


def _all_stored(
    documents: collections.abc.Iterable[Json],
) -> tuple[PlatformObject, ...]:
    return tuple(map(_stored, documents))


def _listing(document: Json) -> Listing:
    return Listing(_all_stored(document["items"]), int(document["version"]))


def _events(document: Json) -> WatchResult:
    return WatchResult(
        _all_stored(document["events"]), int(document["version"])
    )


def _version(document: Json) -> int:
    return int(document["version"])
