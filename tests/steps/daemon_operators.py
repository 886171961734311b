"""Steps for the operators' key in tests/daemon/gateway.feature."""

import hashlib
import json

from behave import given
from behave import then
from behave import when

from tests.client import command_runner
from tests.daemon import fleet_fixture
from tests.support import fleet
from tests.support import http

VM = "vm-0"
OPERATOR_KEY = "operators only"
PAGES = ("/v1/status", "/v1/histograms")


@given("a fleet whose operators have a key")
def _fleet_with_key(context):
    running = fleet.Fleet()
    context.closers.append(running.close)
    running.start_platform()
    running.put_catalogue(fleet_fixture.catalogue())
    running.start_daemons({VM: "dc-a"})
    path = running.settings_path(VM)
    document = json.loads(path.read_text())
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    document["operator_key_sha256"] = digest
    path.write_text(json.dumps(document))
    running.restart(VM)
    context.running = running


@when("a customer asks for the status and the histograms")
def _customer_requests_pages(context):
    headers = {"Authorization": f"Bearer {fleet_fixture.key_of('ana')}"}
    context.replies = [
        http.call(
            context.running.address(VM), "GET", page, headers=request_headers
        )
        for page in PAGES
        for request_headers in (headers, {})
    ]


@then("neither is shown")
def _pages_refused(context):
    kinds = {
        (reply.status, reply.payload["error"]["type"])
        for reply in context.replies
    }
    assert kinds == {(401, "unauthenticated")}, kinds


@then("the client with the operators' key shows the status")
def _client_shows_status(context):
    key_file = context.running.folder / "operator-key"
    key_file.write_text(OPERATOR_KEY + "\n")
    connection = [
        "--entry",
        context.running.address(VM),
        "--operator-key-file",
        str(key_file),
    ]
    for words in (["status"], ["histograms"]):
        result = command_runner.run([*words, "--json"], connection)
        assert result.code == 0, result.stderr
        assert json.loads(result.stdout)
