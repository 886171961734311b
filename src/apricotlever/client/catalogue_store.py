"""Reads and edits the catalogue in the object API.

An edit makes two writes. The first copies the version in force to
``catalogue/history/VERSION``. The second replaces ``catalogue/current`` on
the condition that it still has that version. A crash between the two writes
leaves a redundant copy of the version in force, which is harmless and which
the next edit writes again. In the opposite order, a crash would lose the
replaced version permanently.
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

MAX_WRITE_ATTEMPTS = 5


class EditResult:
    """Result of a successful edit.

    :param version: the version that the edit put in force, or the current
        one if the edit changed nothing.
    :param changes: fields that the edit changed; empty if it changed none.
    """

    __slots__ = ("version", "changes")

    def __init__(
        self, version: int, changes: tuple[difference.Change, ...]
    ) -> None:
        self.version = version
        self.changes = changes


class CatalogueStore:
    """Reads and edits the catalogue and its history of versions.

    :param objects: client of the platform's object API.
    :param editor: name of the operator, recorded in the history.
    """

    __slots__ = ("_objects", "_editor")

    def __init__(self, objects: platform.ObjectApi, editor: str) -> None:
        self._objects = objects
        self._editor = editor

    def current(self) -> edit.StoredVersion:
        """Read the current version; ``edit.NO_VERSION`` if there is none.

        :raises Unreachable: if the store can't be read.
        """
        return self._read(edit.CURRENT_OBJECT_NAME) or edit.NO_VERSION

    def version(self, version: int) -> edit.StoredVersion:
        """Read a version that is in force or in the history.

        :raises InvalidInput: if the history does not hold the version.
        :raises Unreachable: if the store can't be read.
        """
        current = self.current()
        if version == current.version:
            return current
        kept = self._read(edit.history_object_name(version))
        if kept is None:
            raise errors.InvalidInput(
                f"version {version} is not kept in the history"
            )
        return edit.StoredVersion(version, kept.value)

    def history(self) -> tuple[edit.EditStamp, ...]:
        """Read who edited each kept version and when, newest first.

        :raises Unreachable: if the store can't be read.
        """
        current = self.current()
        return (current.stamp, *current.history) if current.version else ()

    def replace(self, document: Json, expected: int | None) -> EditResult:
        """Put a whole document in force as the next version.

        :param document: the whole catalogue; edit metadata in it, as printed
            by ``catalogue show``, is dropped.
        :param expected: the version that the document is based on; None
            for the version that is in force now.
        :raises EditConflict: if another version is in force.
        :raises OutcomeUnknown: if the write may have taken effect.
        :raises Unreachable: if the store failed and nothing was changed.
        """
        base = self.current()
        if expected is not None and expected != base.version:
            raise _edit_conflict(base, document)
        return self._write_version(base, document)

    def update(self, transform: Transform, expected: int | None) -> EditResult:
        """Change parts of the document in force.

        If a concurrent edit changed other parts, the change is rebased on
        it. If the concurrent edit changed the same parts, the operator has
        to decide.

        :param transform: makes the new document from the one in force.
        :param expected: as for :meth:`replace`; if it is given, the change
            is not rebased.
        :raises EditConflict: if a concurrent edit changed the same parts,
            if another version than ``expected`` is in force, or if all
            attempts to write met a concurrent edit.
        :raises OutcomeUnknown: if the write may have taken effect.
        :raises Unreachable: if the store failed and nothing was changed.
        """
        base = self.current()
        if expected is not None and expected != base.version:
            raise _edit_conflict(base, transform(base.document))
        for _ in range(MAX_WRITE_ATTEMPTS):
            mine = transform(base.document)
            try:
                return self._write_version(base, mine)
            except errors.EditConflict:
                if expected is not None:
                    raise
            theirs = self.current()
            if edit.edits_conflict(base.document, mine, theirs.document):
                raise _edit_conflict(theirs, mine)
            base = theirs
        raise _edit_conflict(base, mine)

    def _write_version(
        self, base: edit.StoredVersion, document: Json
    ) -> EditResult:
        checked = catalogue.parse(edit.without_edit(document), 0).document
        changes = difference.changes(
            catalogue.filled_in(base.document), checked
        )
        if base.version and not changes:
            return EditResult(base.version, ())
        stamp = edit.EditStamp(0, uuid.uuid4().hex, self._editor, time.time())
        value = edit.stored_value(checked, base, stamp)
        _check_size(value)
        self._archive(base)
        version = self._write_current(base, checked, value, stamp)
        self._delete_expired(value[edit.EDIT_FIELD]["expired"])
        return EditResult(version, changes)

    def _archive(self, base: edit.StoredVersion) -> None:
        """Copy the version that will be replaced into the history."""
        if not base.version:
            return
        name = edit.history_object_name(base.version)
        outcome = self._objects.put_with_read_back(name, base.value, None)
        match outcome:
            case result.Failure(platform.Conflict()) | result.Success():
                return
            case result.Failure(error):
                raise errors.Unreachable(
                    f"nothing was changed; writing the history failed: "
                    f"{error.message}"
                )

    def _write_current(
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
            lambda stored: _stored_version(stored).contains_edit(edit_id),
        )
        match outcome:
            case result.Success(stored):
                return self._version_of_edit(stored, edit_id)
            case result.Failure(platform.Conflict()):
                raise _edit_conflict(self.current(), document)
            case result.Failure(platform.Ambiguous() as error):
                raise errors.OutcomeUnknown(
                    f"edit {edit_id} may be in force; check the output of "
                    f"'catalogue history': {error.message}"
                )
        raise errors.Unreachable(
            f"nothing was changed: {outcome.failure().message}"
        )

    def _version_of_edit(
        self, stored: platform.PlatformObject, edit_id: str
    ) -> int:
        """The version number of an edit, even if later edits replaced it."""
        version = _stored_version(stored)
        stamps = (version.stamp, *version.history)
        found = (s.version for s in stamps if s.edit_id == edit_id)
        return next(found, stored.version)

    def _delete_expired(self, versions: collections.abc.Iterable[int]) -> None:
        """Delete versions that dropped out of the history.

        The edit is already in force at this point, so failed deletions are
        ignored. The next edits list the same versions again and retry.
        """
        for version in versions:
            self._objects.delete(edit.history_object_name(version))

    def _read(self, name: str) -> edit.StoredVersion | None:
        match self._objects.get(name):
            case result.Success(stored):
                return _stored_version(stored)
            case result.Failure(platform.NotFound()):
                return None
            case result.Failure(error):
                raise errors.Unreachable(error.message)
        raise AssertionError("a result is a success or a failure")


def _stored_version(stored: platform.PlatformObject) -> edit.StoredVersion:
    return edit.StoredVersion(stored.version, stored.value)


def _edit_conflict(
    current: edit.StoredVersion, document: Json
) -> errors.EditConflict:
    changes = difference.changes(
        catalogue.filled_in(current.document),
        catalogue.filled_in(edit.without_edit(document)),
    )
    return errors.EditConflict(
        f"version {current.version} is in force, another edit came first; "
        "nothing was changed",
        current.version,
        changes,
    )


def _check_size(value: Json) -> None:
    size = len(documents.encode_json(value))
    if size > platform.MAX_VALUE_BYTES:
        raise errors.InvalidInput(
            f"the catalogue with its history has {size} bytes; the platform "
            f"stores at most {platform.MAX_VALUE_BYTES}"
        )
