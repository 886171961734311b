"""Runs the operators' command inside the test's process."""

import contextlib
import io
import typing

from apricotlever.client import main


class Ran:
    """How a command ended and what it printed."""

    __slots__ = ("code", "printed", "complaint")

    def __init__(self, code: int, printed: str, complaint: str) -> None:
        self.code = code
        self.printed = printed
        self.complaint = complaint


def run(
    arguments: typing.Sequence[str], connection: typing.Sequence[str]
) -> Ran:
    """Run a command.

    :param connection: arguments that say where the platform and the entry
        VMs are; left out when the command names them itself.
    """
    extra = () if connection[0] in arguments else connection
    out, complaint = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(complaint),
    ):
        try:
            code = main.main([*arguments, *extra])
        except SystemExit as stopped:
            code = typing.cast(int, stopped.code)
    return Ran(code, out.getvalue(), complaint.getvalue())


def run_for(context: typing.Any, arguments: typing.Sequence[str]) -> None:
    """Run a command for a scenario that told where the platform is."""
    ran = run(arguments, context.operator_connection)
    context.exit_code = ran.code
    context.printed = ran.printed
    context.complaint = ran.complaint
