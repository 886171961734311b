"""The root of every error that apricotlever raises.

Each layer derives its own errors from :class:`ApricotleverError` and turns
the errors of the layer below into them, so that a caller never has to know
which library a layer is built on.
"""

EXIT_FAILURE = 1
EXIT_USAGE = 2


class ApricotleverError(Exception):
    """An error that carries its own message and process exit code.

    :param message: one sentence in plain English, fit to show an operator.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self._message = message

    @property
    def message(self) -> str:
        """The sentence to show, without a traceback."""
        return self._message

    def __str__(self) -> str:
        return self._message
