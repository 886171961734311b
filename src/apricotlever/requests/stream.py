"""Puts the tokens of successive attempts together into one answer."""

ACCEPTED = 1
STALE = 0
GAP = -1


class StreamCursor:
    """The next token that the caller is owed, and who may supply it.

    An attempt that was given up can still speak: its connection may deliver
    tokens that were on the way. They would come twice, so only the current
    attempt is listened to.

    :param next_index: the index of the first token that is owed.
    """

    __slots__ = ("_attempt", "_next", "_stale", "_gaps")

    def __init__(self, attempt: int = 1, next_index: int = 0) -> None:
        self._attempt = attempt
        self._next = next_index
        self._stale = 0
        self._gaps = 0

    @property
    def attempt(self) -> int:
        """The attempt whose tokens count."""
        return self._attempt

    @property
    def next_index(self) -> int:
        """The index of the token that is owed next."""
        return self._next

    @property
    def stale(self) -> int:
        """Tokens dropped: of an old attempt, or sent already."""
        return self._stale

    @property
    def gaps(self) -> int:
        """How often the current attempt left a token out."""
        return self._gaps

    def offer(self, attempt: int, index: int) -> int:
        """Judge one token; called for each on its way to the caller.

        :returns: ACCEPTED to pass it on, STALE to drop it, or GAP when a
            token is missing: pass nothing on and recover the stream.
        """
        if index == self._next and attempt == self._attempt:
            self._next = index + 1
            return ACCEPTED
        if attempt != self._attempt or index < self._next:
            self._stale += 1
            return STALE
        self._gaps += 1
        return GAP

    def begin(self, attempt: int) -> int:
        """Listen to a newer attempt only.

        :returns: the index from which it has to go on.
        :raises ValueError: if the attempt isn't newer.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} is not newer")
        self._attempt = attempt
        return self._next
