"""Counters that are kept in a file and outlive their process."""

import collections
import os
import threading


class Journal:
    """Counts occurrences by name and appends each to a file first.

    The counts of a stand-in that a test kills would otherwise be lost. The
    restarted stand-in, or the test itself, reads them back from the file.

    :param path: the file; an empty string keeps the counts only in memory.
    """

    __slots__ = ("_counts", "_file", "_lock")

    def __init__(self, path: str = "") -> None:
        self._lock = threading.Lock()
        self._counts = read_counts(path)
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
        """Count one occurrence of a name.

        :returns: the number of its occurrences so far.
        """
        with self._lock:
            if self._file >= 0:
                os.write(self._file, f"{name}\n".encode())
            self._counts[name] += 1
            return self._counts[name]

    def clear(self) -> None:
        """Reset the counts and empty the file."""
        with self._lock:
            self._counts.clear()
            if self._file >= 0:
                os.ftruncate(self._file, 0)


def read_counts(path: str) -> "collections.Counter[str]":
    """Read the counts from a journal file; empty if there is no such file."""
    if not path or not os.path.exists(path):
        return collections.Counter()
    with open(path) as journal_file:
        return collections.Counter(line.rstrip("\n") for line in journal_file)
