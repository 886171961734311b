"""Steps for tests/client/runners.feature."""

import http.server
import socket
import threading

from apricotlever.client import exit_codes
from apricotlever.client import runner_commands
from behave import given
from behave import then

from tests.client import command_runner

FIRST = """apricotlever_members 2
apricotlever_in_flight{runner="runner-1"} 3
apricotlever_in_flight{runner="runner-2"} 1
apricotlever_waiting_tokens{runner="runner-1"} 900
apricotlever_runner_slowness{phase="prefill",runner="runner-1"} 1.6
apricotlever_runner_slowness_samples{phase="prefill",runner="runner-1"} 41.25
"""
SECOND = """apricotlever_in_flight{runner="runner-1"} 2
apricotlever_runner_slowness{phase="prefill",runner="runner-1"} 1.1
apricotlever_runner_slowness_samples{phase="prefill",runner="runner-1"} 2
"""


@given("metrics of two VMs, of which the second has just started")
def _texts(context):
    context.rows = runner_commands.runner_rows([FIRST, SECOND])


@then("the row of runner-1 has the first VM's speed and both VMs' calls")
def _first_row(context):
    row = context.rows[0]
    assert row["runner"] == "runner-1"
    assert (row["prefill_speed"], row["prefill_samples"]) == (0.62, 41.2), row
    assert (row["calls"], row["waiting_tokens"]) == (5, 900), row


@then("runner-2, which only has calls, is shown at speed 1.0")
def _second_row(context):
    row = context.rows[1]
    assert (row["runner"], row["calls"]) == ("runner-2", 1), row
    assert row["prefill_speed"] == 1.0 and row["prefill_samples"] == 0, row


class _Metrics(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        """Answer with the metrics of a VM."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(FIRST.encode())

    def log_message(self, *arguments):
        """Keep the output of the test free of requests."""


@given("a VM whose metrics can be read and one that is gone")
def _servers(context):
    context.operator_connection = ("--metrics",)
    server = http.server.HTTPServer(("127.0.0.1", 0), _Metrics)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.closers.append(server.server_close)
    context.closers.append(server.shutdown)
    context.vm = f"127.0.0.1:{server.server_port}/metrics"
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        context.gone = f"127.0.0.1:{closed.getsockname()[1]}"


@then("the command prints the runners and names the missing VM")
def _prints(context):
    command_runner.run_in_scenario(
        context,
        ["runners", "--metrics", context.vm, "--metrics", context.gone],
    )
    assert context.exit_code == exit_codes.SUCCESS, context.complaint
    assert "runner-1" in context.printed, context.printed
    assert f"no answer from: {context.gone}" in context.printed


@then("without the first VM it exits with the code of an unreachable VM")
def _unreachable(context):
    command_runner.run_in_scenario(
        context, ["runners", "--metrics", context.gone]
    )
    assert context.exit_code == exit_codes.UNAVAILABLE, context.exit_code
