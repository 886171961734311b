"""Counts by name that outlive a process that is killed."""

import collections
import os
import threading


class Journal:
    """Occurrences by name, appended to a file before they are counted.

    A test that kills a stand-in would lose what it counted; with a file,
    the next process of the same stand-in, or the test, reads it again.

    :param path: the file, or an empty string to keep counts in memory.
    """

    __slots__ = ("_counts", "_file", "_lock")

    def __init__(self, path: str = "") -> None:
        self._lock = threading.Lock()
        self._counts = read(path)
        self._file = -1
        if path:
            flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
            self._file = os.open(path, flags, 0o600)

    @property
    def counts(self) -> dict[str, int]:
        """A copy of the counts."""
        with self._lock:
            return dict(self._counts)

    def add(self, name: str) -> int:
        """Count one occurrence.

        :returns: how many there are now.
        """
        with self._lock:
            if self._file >= 0:
                os.write(self._file, f"{name}\n".encode())
            self._counts[name] += 1
            return self._counts[name]

    def clear(self) -> None:
        """Forget every occurrence."""
        with self._lock:
            self._counts.clear()
            if self._file >= 0:
                os.ftruncate(self._file, 0)


def read(path: str) -> "collections.Counter[str]":
    """The counts that a journal's file holds; none if it is absent."""
    if not path or not os.path.exists(path):
        return collections.Counter()
    with open(path) as lines:
        return collections.Counter(line.rstrip("\n") for line in lines)
