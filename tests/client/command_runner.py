"""Runs operator commands in the process of the test."""

import contextlib
import io
import typing

from apricotlever.client import main


class CommandResult:
    """Result of a command.

    :param code: the exit code.
    :param printed: the standard output.
    :param complaint: the standard error output.
    """

    __slots__ = ("code", "stdout", "stderr")

    def __init__(self, code: int, printed: str, complaint: str) -> None:
        self.code = code
        self.stdout = printed
        self.stderr = complaint


def run(
    arguments: typing.Sequence[str], connection: typing.Sequence[str]
) -> CommandResult:
    """Run a command.

    :param arguments: the command and its arguments.
    :param connection: arguments with the addresses of the platform and the
        entry VMs; omitted if the command already contains the first of them.
    """
    connection_arguments = () if connection[0] in arguments else connection
    out, complaint = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(complaint),
    ):
        try:
            code = main.main([*arguments, *connection_arguments])
        except SystemExit as stop:
            code = typing.cast(int, stop.code)
    return CommandResult(code, out.getvalue(), complaint.getvalue())


def run_in_scenario(
    context: typing.Any, arguments: typing.Sequence[str]
) -> None:
    """Run a command with the connection of a scenario.

    The exit code and the output are stored in the context.

    :param context: behave's context of the scenario.
    :param arguments: the command and its arguments.
    """
    command_result = run(arguments, context.operator_connection)
    context.exit_code = command_result.code
    context.printed = command_result.stdout
    context.complaint = command_result.stderr
