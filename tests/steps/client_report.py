"""Steps for tests/client/report.feature."""

import contextlib
import io
import json
import pathlib
import tempfile

from apricotlever.client import main
from behave import given
from behave import step
from behave import then
from behave import when


def _empty(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = folder.name


@given("an empty directory")
def _empty_directory(context):
    _empty(context)


@given("logs in which no request ended")
def _no_request(context):
    _empty(context)
    line = "time=2026-03-01T03:12:13.100000Z level=INFO event=started vm=a\n"
    pathlib.Path(context.folder, "a.log").write_text(line)


def _draw(context, page):
    arguments = ["report", context.folder, "--output", str(page), "--json"]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = main.main(arguments)
    context.out, context.err = out.getvalue(), err.getvalue()
    context.page = pathlib.Path(page)


@when("the operator draws a report of them")
@when("the operator draws a report of it")
def _report(context):
    _draw(context, pathlib.Path(context.folder, "page.html"))
    context.err = context.out


@when("the operator draws a report into a directory that is not there")
def _nowhere(context):
    _draw(context, pathlib.Path(context.folder, "none", "page.html"))
    context.err = context.out


@then(
    "the report counts {vms:d} VMs, {failed:d} failed and {refused:d} "
    "refused request"
)
def _counts(context, vms, failed, refused):
    found = json.loads(context.out)
    assert len(found["vms"]) == vms, found
    assert found["outcomes"] == {"failed": failed, "refused": refused}, found


@step('its reasons are "{one}" and "{other}"')
def _reasons(context, one, other):
    assert set(json.loads(context.out)["reasons"]) == {one, other}


@then("the page holds plots and these counts")
def _page(context):
    text = context.page.read_text()
    assert "<svg" in text
    assert "over_the_limit" in text
