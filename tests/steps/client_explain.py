"""Steps for tests/client/explain.feature."""

import contextlib
import io
import json
import pathlib
import tempfile

from apricotlever.client import exit_codes
from apricotlever.client import main
from behave import given
from behave import then
from behave import when

BROKEN_REQUEST_LOG = """\
time=2026-03-01T03:12:13.100000Z level=INFO event=request_routed vm=vm-1 \
request=aa11 service=s runner=r-7 in_flight=2 attempt=1
time=2026-03-01T03:12:13.200000Z level=INFO event=request_routed vm=vm-1 \
request=dd44 service=s runner=r-8 in_flight=0 attempt=1
time=2026-03-01T03:12:13.900000Z level=INFO event=runner_leaving vm=vm-1 \
runner=r-7
time=2026-03-01T03:12:13.950000Z level=INFO event=runner_gone vm=vm-1 \
runner=r-9
time=2026-03-01T03:12:16.300000Z level=INFO event=request_ended vm=vm-1 \
request=aa11 runner=r-7 sends=1 served=False \
ended="broken:closed by the other side" took_s=3.2
time=2026-03-01T03:12:16.300100Z level=INFO event=request_refused vm=vm-1 \
request=aa11 status=502 reason="broken:closed by the other side"
"""
REFUSED_REQUEST_LOG = """\
 3.8 vm-2 time=2026-03-01T03:12:14.000000Z level=INFO event=request_refused \
vm=vm-2 request=bb22 status=429 reason=over_the_limit retry_after_s=0.3
a line of something else
"""
UNFINISHED_REQUEST_LOG = """\
time=2026-03-01T03:12:13.100000Z level=INFO event=request_routed vm=vm-1 \
request=ee55 service=s runner=r-7 in_flight=2 left_s=14.7 attempt=1
"""
MEMBER_DEAD_LOG = """\
time=2026-03-01T03:12:18.400000Z level=WARNING event=member_dead vm=vm-2 \
member=vm-1 alive=1
"""
RESTART_LOG = """\
time=2026-03-01T03:12:18.300000Z level=INFO event=started vm=vm-1 \
incarnation=7
"""
RESUMED_STREAM_LOG = (
    "time=2026-08-20T05:01:23.000000Z level=INFO event=request_ended "
    "vm=vm-3 request=jj99 runner=i-2 sends=2 served=True took_s=0.4 "
    "runner_status=500 events=0\n"
)
LATE_STREAM_LOG = """\
time=2026-03-01T03:12:13.100000Z level=INFO event=request_ended vm=vm-1 \
request=ff66 runner=r-7 sends=1 served=True first_s=1.31 pause_s=0.12 \
took_s=3.2
"""

STREAM_BEGUN_LOG = """\
time=2026-03-01T03:12:12.100000Z level=INFO event=request_routed vm=vm-1 \
request=mm11 service=s runner=r-7 version=v1 in_flight=2 attempt=1
"""
STREAM_RESUMED_LOG = """\
time=2026-03-01T03:12:14.100000Z level=INFO event=request_routed vm=vm-2 \
request=mm22 service=s runner=r-8 version=v2 resume_after=3 resumes=mm11 \
in_flight=2 attempt=1
time=2026-03-01T03:12:14.900000Z level=INFO event=request_ended vm=vm-2 \
request=mm22 runner=r-8 sends=1 served=True took_s=0.8
"""
INVALID_RESPONSE_LOG = """\
time=2026-03-01T03:12:16.300100Z level=INFO event=request_refused vm=vm-1 \
request=gg77 status=502 reason="broken:not an answer: HttpParserError"
"""
RESTED_LOG = """\
time=2026-03-01T03:12:14.300100Z level=INFO event=runner_rest vm=vm-1 \
runner=r-5 rest_s=3
time=2026-03-01T03:12:16.300100Z level=INFO event=runners_unavailable vm=vm-1 \
request=hh88 service=s passed_over="r-5=rest:1.00,r-6=limit:0.40"
time=2026-03-01T03:12:16.300100Z level=INFO event=request_refused vm=vm-1 \
request=hh88 status=503 reason=runners_unavailable retry_after_s=0.4
"""
CONTENDED_LOG = """\
time=2026-03-01T03:12:13.100000Z level=INFO event=request_routed vm=vm-1 \
request=ii99 service=s runner=r-7 queue_level=7 level_cause=over_share
time=2026-03-01T03:12:13.900000Z level=INFO event=request_ended vm=vm-1 \
request=ii99 runner=r-7 sends=1 served=True first_s=0.7 took_s=0.8
time=2026-03-01T03:12:14.100000Z level=INFO event=request_without_time \
vm=vm-1 request=jj11 service=s left_s=1.2 missing_s=0.8 queue_level=9 mode=on
time=2026-03-01T03:12:14.200000Z level=INFO event=request_refused vm=vm-1 \
request=jj11 status=503 reason=no_time retry_after_s=0.8
"""
ISOLATED_LOG = """\
time=2026-03-01T03:12:13.500000Z level=WARNING event=runners_unreachable \
vm=vm-2 failed=4 runners=r-1,r-2,r-3,r-4 probes=3 bytes_age_s=1.2
time=2026-03-01T03:12:15.500000Z level=INFO event=runners_reachable vm=vm-2 \
for_s=2.0 state=connected circuits_closed=4
"""
METRICS = """\
apricotlever_service_contended{service="s"} 1
apricotlever_service_wait_s{service="s"} 0.3
apricotlever_service_contended{service="other"} 1
apricotlever_levels_changed_total{service="s"} 12
apricotlever_demand_calls{demand="s/a/b"} 40
apricotlever_demand_tokens{demand="s/a/b"} 9000
apricotlever_demand_fair_tokens{demand="s/a/b"} 4000
apricotlever_demand_put_behind{demand="s/a/b"} 1
apricotlever_members 2
"""

FORWARDER_LOG = """\
time=2026-03-01T03:12:13.100000Z level=INFO event=request_forwarded vm=vm-1 \
request=kk11 helper=vm-2 data_centre=a cause=isolated attempt=1 left_s=4
time=2026-03-01T03:12:13.400000Z level=INFO event=request_ended vm=vm-1 \
request=kk11 helper=vm-2 sends=1 served=True first_s=0.2 took_s=0.3
time=2026-03-01T03:12:14.100000Z level=INFO event=request_forwarded vm=vm-1 \
request=kk22 helper=vm-2 data_centre=a cause=isolated attempt=1 left_s=4
time=2026-03-01T03:12:14.200000Z level=INFO event=request_ended vm=vm-1 \
request=kk22 helper=vm-2 sends=0 served=False ended=helper_full took_s=0.1
time=2026-03-01T03:12:14.200100Z level=INFO event=request_refused vm=vm-1 \
request=kk22 status=503 reason=helper_full retry_after_s=0.2
time=2026-03-01T03:12:15.200100Z level=INFO event=request_refused vm=vm-1 \
request=kk33 status=503 reason=isolated retry_after_s=0.5
time=2026-03-01T03:12:16.100000Z level=INFO event=request_forwarded vm=vm-1 \
request=kk44 helper=vm-2 data_centre=a cause=isolated attempt=1 left_s=4
"""
HELPER_LOG = """\
time=2026-03-01T03:12:13.200000Z level=INFO event=request_routed vm=vm-2 \
request=kk11 service=s runner=r-7 in_flight=2 left_s=3.9 attempt=1
time=2026-03-01T03:12:13.390000Z level=INFO event=forwarded_call vm=vm-2 \
request=kk11 peer=10.0.0.1 result=served executed=yes runner=r-7 sends=1
time=2026-03-01T03:12:14.150000Z level=INFO event=forwarded_call vm=vm-2 \
request=kk22 peer=10.0.0.1 result=turned_away executed=no ended=helper_full
time=2026-03-01T03:12:16.200000Z level=INFO event=request_routed vm=vm-2 \
request=kk44 service=s runner=r-7 in_flight=2 left_s=3.9 attempt=1
time=2026-03-01T03:12:16.400000Z level=INFO event=forwarded_call vm=vm-2 \
request=kk44 peer=10.0.0.1 result=cancelled executed=unknown runner=r-7
"""


def _write_log(context, name, text):
    path = pathlib.Path(context.folder, name)
    path.write_text(text)
    context.files.append(str(path))


def _create_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = folder.name
    context.files = []


@given("logs of two VMs with a request broken by a reclaimed runner")
def _broken_request_logs(context):
    _create_folder(context)
    _write_log(context, "vm-2.log", REFUSED_REQUEST_LOG)
    _write_log(context, "vm-1.log", BROKEN_REQUEST_LOG)


@given("logs of two VMs with a request at a VM that was killed")
def _killed_vm_logs(context):
    _create_folder(context)
    _write_log(context, "vm-1.log", UNFINISHED_REQUEST_LOG + RESTART_LOG)
    _write_log(context, "vm-2.log", MEMBER_DEAD_LOG)


@given("a log of a request whose runner sent an invalid response")
def _invalid_response_log(context):
    _write_log(context, "garbled.log", INVALID_RESPONSE_LOG)


@given("a log of a request whose runners rested")
def _rested_log(context):
    _write_log(context, "rested.log", RESTED_LOG)


@given("a log of requests at a contended service")
def _contended_log(context):
    _write_log(context, "contended.log", CONTENDED_LOG)


@given("a log of a VM that reached no runner")
def _isolated_log(context):
    _write_log(context, "isolated.log", ISOLATED_LOG)


@given("metrics of two VMs, of which one sees contention")
def _metrics(context):
    _create_folder(context)
    _write_log(context, "vm-1.txt", METRICS)
    calm = METRICS.replace(
        'contended{service="s"} 1', 'contended{service="s"} 0'
    )
    calm = calm.replace('put_behind{demand="s/a/b"} 1', "none 0")
    _write_log(context, "vm-2.txt", calm.replace("} 0.3", "} 0.1"))


@when('the operator asks for the room of "{service}" as {form}')
def _room(context, service, form):
    more = ["--json"] if form == "JSON" else []
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = main.main(["room", service, *context.files, *more])
    context.out, context.err = out.getvalue(), err.getvalue()


@then("the command prints the state of the service and its customer")
def _check_room(context):
    assert context.code == exit_codes.SUCCESS, context.err
    assert json.loads(context.out) == {
        "vms": 2,
        "contended": 1,
        "wait_s": 0.2,
        "levels_changed": 24,
        "customers": [
            {
                "customer": "a/b",
                "calls": 40,
                "tokens": 9000,
                "fair_tokens": 4000,
                "put_behind": 1,
            }
        ],
    }, context.out


@given("logs of two VMs with requests that one forwarded to the other")
def _forwarded_logs(context):
    _create_folder(context)
    _write_log(context, "vm-1.log", FORWARDER_LOG)
    _write_log(context, "vm-2.log", HELPER_LOG + MEMBER_DEAD_LOG)


@then("it prints the lines of both VMs in order")
def _check_both_vms(context):
    events = (
        "vm-1 request_forwarded",
        "vm-2 request_routed",
        "vm-2 forwarded_call",
        "vm-1 request_ended",
    )
    places = [context.out.find(event) for event in events]
    assert places == sorted(places) and places[0] >= 0, context.out


@given("a log of a late stream")
def _late_stream_log(context):
    _write_log(context, "vm-3.log", LATE_STREAM_LOG)


@given("a log of a stream that ended with a runner's error")
def _resumed_stream_log(context):
    _write_log(context, "vm-3.log", RESUMED_STREAM_LOG)


@given("logs of two VMs with a stream that one began and the other resumed")
def _resumed_at_another_vm_logs(context):
    _create_folder(context)
    _write_log(context, "vm-1.log", STREAM_BEGUN_LOG)
    _write_log(context, "vm-2.log", STREAM_RESUMED_LOG)


@given("logs of two VMs with a request at a VM that was cut off")
def _cut_off_vm_logs(context):
    _create_folder(context)
    _write_log(context, "vm-1.log", UNFINISHED_REQUEST_LOG)
    _write_log(context, "vm-2.log", MEMBER_DEAD_LOG)


@then("it prints when the other VM detected the failure")
def _check_detected(context):
    assert "vm-2 member_dead" in context.out, context.out


@given("a file without log lines")
def _no_log_lines(context):
    _create_folder(context)
    _write_log(context, "notes.txt", "nothing here\n")


@when('the operator explains "{request}"')
def _explain(context, request):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = main.main(["explain", request, *context.files])
    context.out, context.err = out.getvalue(), err.getvalue()


@then('the command succeeds and prints "{text}"')
def _check_success(context, text):
    assert context.code == exit_codes.SUCCESS, context.err
    assert text in context.out, context.out


@then("it prints that the runner was leaving as a background event")
def _check_background(context):
    lines = context.out.splitlines()
    assert any(
        line.startswith("- ") and "runner_leaving" in line for line in lines
    ), lines


@then("it does not print events of other requests")
def _check_no_other_requests(context):
    assert "dd44" not in context.out and "r-9" not in context.out


@then('the command fails and says "{text}"')
def _check_failure(context, text):
    assert context.code == exit_codes.INVALID_INPUT, context.code
    assert text in context.err, context.err


_BLOCK_VM_1 = """\
time=2026-05-01T10:00:01.200000Z level=WARNING event=crash_cause_found vm=vm-1\
 feature=part/bad0 features=part/bad0 crashes=2 runners=r-1,r-2 seen_by=vm-2
time=2026-05-01T10:05:00.000000Z level=INFO event=request_blocked vm=vm-1\
 request=nn22 feature=part/bad0 wait_s=9 crashes=2 runners=r-1,r-2
time=2026-05-01T10:05:00.000100Z level=INFO event=request_refused vm=vm-1\
 request=nn22 status=503 reason=crashes_runners retry_after_s=9
"""
_BLOCK_VM_2 = """\
time=2026-05-01T10:00:01.000000Z level=WARNING event=runner_crashed vm=vm-2\
 runner=r-2 charged=1 calls=nn11 parts=bad0:1
time=2026-05-01T10:00:02.000000Z level=WARNING event=runner_crashed vm=vm-2\
 runner=r-9 charged=1 calls=zz99 parts=00aa:1
"""


@given("logs of two VMs with a request that is blocked for its prompt's part")
def _blocked_logs(context):
    _create_folder(context)
    _write_log(context, "vm-1.log", _BLOCK_VM_1)
    _write_log(context, "vm-2.log", _BLOCK_VM_2)


@then("it does not print the crash of another runner")
def _no_other_crash(context):
    assert "zz99" not in context.out, context.out
