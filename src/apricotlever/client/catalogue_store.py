"""Reading and editing the catalogue in the object API.

An edit makes two writes. First the version that is about to be replaced is
copied to ``catalogue/history/VERSION``, then ``catalogue/current`` is
replaced on the condition that it still has that version. A crash between
the two leaves a copy of what is still in force, which harms nothing and is
written again by the next edit. In the other order, a crash would lose the
replaced version for good.
"""

import collections.abc
import time
import typing
import uuid

from returns import result

from .. import catalogue
from .. import documents
from ..catalogue import difference
from ..catalogue import edit
from . import errors
from ..links import platform

Json = typing.Any
Transform = typing.Callable[[Json], Json]

REBASES_MAX = 5


class Applied:
    """What became of an edit.

    :param version: the version in force.
    :param changes: what the edit changed; empty if there was nothing to do.
    """

    __slots__ = ("version", "changes")

    def __init__(
        self, version: int, changes: tuple[difference.Change, ...]
    ) -> None:
        self.version = version
        self.changes = changes


class CatalogueStore:
    """The catalogue's object and its history.

    :param objects: the platform's object API.
    :param by: who edits, for the history.
    """

    __slots__ = ("_objects", "_by")

    def __init__(self, objects: platform.ObjectApi, by: str) -> None:
        self._objects = objects
        self._by = by

    def current(self) -> edit.StoredVersion:
        """The version that the store holds; ``edit.NONE`` if none."""
        return self._read(edit.CURRENT_OBJECT_NAME) or edit.NO_VERSION

    def version(self, version: int) -> edit.StoredVersion:
        """A version that is in force or kept in the history."""
        current = self.current()
        if version == current.version:
            return current
        kept = self._read(edit.history_object_name(version))
        if kept is None:
            raise errors.InvalidInput(f"version {version} is not kept")
        return edit.StoredVersion(version, kept.value)

    def history(self) -> tuple[edit.EditStamp, ...]:
        """The version in force and those before it, the newest first."""
        current = self.current()
        return (current.stamp, *current.history) if current.version else ()

    def replace(self, document: Json, expected: int | None) -> Applied:
        """Put a whole document in force.

        :param expected: the version that it was made from; None for the
            one that is in force now.
        :raises EditLost: if another version is in force.
        """
        base = self.current()
        if expected is not None and expected != base.version:
            raise _lost(base, document)
        return self._write(base, document)

    def change(self, transform: Transform, expected: int | None) -> Applied:
        """Change parts of the document in force.

        When another edit comes first and changed other parts, the change
        is made again on top of it; when it changed the same parts, the
        operator has to decide.

        :param transform: makes the new document out of the one in force.
        :param expected: as for :meth:`replace`; then nothing is redone.
        """
        base = self.current()
        if expected is not None and expected != base.version:
            raise _lost(base, transform(base.document))
        for _ in range(REBASES_MAX):
            mine = transform(base.document)
            try:
                return self._write(base, mine)
            except errors.EditLost:
                if expected is not None:
                    raise
            theirs = self.current()
            if edit.edits_conflict(base.document, mine, theirs.document):
                raise _lost(theirs, mine)
            base = theirs
        raise _lost(base, mine)

    def _write(self, base: edit.StoredVersion, document: Json) -> Applied:
        checked = catalogue.parse(edit.without_edit(document), 0).document
        changes = difference.changes(
            catalogue.filled_in(base.document), checked
        )
        if base.version and not changes:
            return Applied(base.version, ())
        stamp = edit.EditStamp(0, uuid.uuid4().hex, self._by, time.time())
        value = edit.stored_value(checked, base, stamp)
        _check_size(value)
        self._keep(base)
        version = self._put(base, checked, value, stamp)
        self._prune(value[edit.EDIT_FIELD]["expired"])
        return Applied(version, changes)

    def _keep(self, base: edit.StoredVersion) -> None:
        """Copy what is about to be replaced into the history."""
        if not base.version:
            return
        name = edit.history_object_name(base.version)
        kept = self._objects.put_with_read_back(name, base.value, None)
        match kept:
            case result.Failure(platform.Conflict()) | result.Success():
                return
            case result.Failure(error):
                raise errors.Unreachable(
                    f"nothing was changed, the history can't be written: "
                    f"{error.message}"
                )

    def _put(
        self,
        base: edit.StoredVersion,
        document: Json,
        value: Json,
        stamp: edit.EditStamp,
    ) -> int:
        edit_id = stamp.edit_id
        outcome = self._objects.put_with_read_back(
            edit.CURRENT_OBJECT_NAME,
            value,
            base.version or None,
            lambda stored: _as_version(stored).contains_edit(edit_id),
        )
        match outcome:
            case result.Success(stored):
                return self._version_of(stored, edit_id)
            case result.Failure(platform.Conflict()):
                raise _lost(self.current(), document)
            case result.Failure(platform.Ambiguous() as error):
                raise errors.OutcomeUnknown(
                    f"edit {edit_id} may be in force, look for it in "
                    f"'catalogue history': {error.message}"
                )
        raise errors.Unreachable(
            f"nothing was changed: {outcome.failure().message}"
        )

    def _version_of(
        self, stored: platform.PlatformObject, edit_id: str
    ) -> int:
        """The version that an edit got, also when later ones replaced it."""
        version = _as_version(stored)
        stamps = (version.stamp, *version.history)
        found = (s.version for s in stamps if s.edit_id == edit_id)
        return next(found, stored.version)

    def _prune(self, versions: collections.abc.Iterable[int]) -> None:
        """Delete versions that fell out of the history.

        It runs after the edit is in force, so failing here fails nothing:
        the next edits name the same versions and delete them again.
        """
        for version in versions:
            self._objects.delete(edit.history_object_name(version))

    def _read(self, name: str) -> edit.StoredVersion | None:
        match self._objects.get(name):
            case result.Success(stored):
                return _as_version(stored)
            case result.Failure(platform.NotFound()):
                return None
            case result.Failure(error):
                raise errors.Unreachable(error.message)
        raise AssertionError("a result is a success or a failure")


def _as_version(stored: platform.PlatformObject) -> edit.StoredVersion:
    return edit.StoredVersion(stored.version, stored.value)


def _lost(current: edit.StoredVersion, document: Json) -> errors.EditLost:
    changes = difference.changes(
        catalogue.filled_in(current.document),
        catalogue.filled_in(edit.without_edit(document)),
    )
    return errors.EditLost(
        f"version {current.version} is in force, another edit came first; "
        "nothing was changed",
        current.version,
        changes,
    )


def _check_size(value: Json) -> None:
    size = len(documents.encode_json(value))
    if size > platform.MAX_VALUE_BYTES:
        raise errors.InvalidInput(
            f"the catalogue takes {size} bytes with its history, the "
            f"platform holds {platform.MAX_VALUE_BYTES}"
        )
