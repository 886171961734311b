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


def _create_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = folder.name


@given("an empty directory")
def _empty_directory(context):
    _create_folder(context)


@given("logs without the end of any request")
def _logs_without_end(context):
    _create_folder(context)
    line = "time=2026-03-01T03:12:13.100000Z level=INFO event=started vm=a\n"
    pathlib.Path(context.folder, "a.log").write_text(line)


@given("logs of late, refused and failed requests with 4 runners present")
def _loss_logs(context):
    _create_folder(context)
    template = "time=2026-03-01T03:12:1{} level=INFO event={} vm=a {}\n"
    end = "request_ended"
    lines = [
        ("0.0Z", "started", ""),
        ("2.1Z", "runners_needed", "service=llm measured=3 present=4"),
        ("2.2Z", end, _end_fields("1", "True", 0.9, 1)),
        ("2.3Z", end, _end_fields("2", "True", 0.8, 1)),
        ("2.4Z", end, _end_fields("3", "True", 0.2, 1)),
        ("4.1Z", end, _end_fields("4", "True", 0.9, 2)),
        ("4.2Z", end, _end_fields("5", "False", 0.2, 1)),
        (
            "4.3Z",
            "request_refused",
            "request=6 status=429 reason=over_the_limit",
        ),
    ]
    text = "".join(template.format(*line) for line in lines)
    pathlib.Path(context.folder, "a.log").write_text(text)


def _end_fields(request, served, first_s, sends):
    return (
        f"request={request} route=drafts served={served} first_s={first_s} "
        f"objective_s=0.5 sends={sends} took_s=1.0"
    )


@then("the losses are {count:d} {reason} and {count2:d} {reason2}")
def _check_losses(context, count, reason, count2, reason2):
    found = json.loads(context.out)["losses"]
    assert (found[reason], found[reason2]) == (count, count2), found


@then(
    'losses of route "{route}" from second {from_s:d} are listed with '
    "{runners:d} runners"
)
def _check_loss_row(context, route, from_s, runners):
    rows = json.loads(context.out)["losses_by_moment"]
    (row,) = [r for r in rows if r["from_s"] == from_s]
    assert row["route"] == route and row["calls"] == 2, row
    assert row["runners"]["llm"][0] == runners, row


def _generate_report(context, page):
    arguments = ["report", context.folder, "--output", str(page), "--json"]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = main.main(arguments)
    context.out, context.err = out.getvalue(), err.getvalue()
    context.page = pathlib.Path(page)


@when("the operator generates a report from them")
@when("the operator generates a report from it")
def _report_on_logs(context):
    _generate_report(context, pathlib.Path(context.folder, "page.html"))
    context.err = context.out


@when("the operator writes a report into a missing directory")
def _report_into_missing_directory(context):
    _generate_report(
        context, pathlib.Path(context.folder, "none", "page.html")
    )
    context.err = context.out


@then(
    "the report counts {vms:d} VMs, {failed:d} failed and {refused:d} "
    "refused request"
)
def _check_counts(context, vms, failed, refused):
    found = json.loads(context.out)
    assert len(found["vms"]) == vms, found
    assert found["outcomes"] == {"failed": failed, "refused": refused}, found


@step('its reasons are "{one}" and "{other}"')
def _check_reasons(context, one, other):
    assert set(json.loads(context.out)["reasons"]) == {one, other}


@then("the page contains plots and these counts")
def _check_page(context):
    text = context.page.read_text()
    assert "<svg" in text
    assert "over_the_limit" in text
