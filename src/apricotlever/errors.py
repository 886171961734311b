"""The base class of all errors that apricotlever raises.

Each layer derives its own errors from :class:`ApricotleverError` and
translates the errors of the layer below into them, so that a caller does not
depend on the libraries that a layer uses.
"""

EXIT_FAILURE = 1
EXIT_USAGE = 2


class ApricotleverError(Exception):
    """An error with a message for operators and a process exit code.

    :param message: one sentence in plain English that can be shown to an
        operator.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self._message = message

    @property
    def message(self) -> str:
        """The message for operators, without a traceback."""
        return self._message

    def __str__(self) -> str:
        return self._message
