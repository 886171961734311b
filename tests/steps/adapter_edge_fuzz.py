"""Steps for tests/adapter/edge_fuzz.feature."""

import json
import random

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgpack

from adapter import documents
from adapter import objects
from adapter import upstreams as adapter_upstreams
from apricotlever import clock as clocks
from apricotlever.contracts import usage_windows
from apricotlever import logs
from apricotlever.serving import messages
from apricotlever.serving import peer_http
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import store_listeners
from apricotlever.serving import upstreams
from apricotlever.vms import vm_records
from tests.steps import adapter_entries

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)
#: Bytes that replace others of a document.
SPOILED = strategies.sampled_from(
    [
        b"\xed\xa0\xbd",
        b"\\ud83d",
        b"\\udc00",
        b"\\u0000",
        b"\\r\\nX: 1",
        b"\xff",
        b"\xf0\x9f\x92",
        b"[" * 1500,
        b"[" * 90 + b"]" * 90,
        b"1" * 5000,
        b"1e999",
        b'"',
        b"}",
        b"\x00",
        b"a" * 5000,
        b"\xe2\x80\xa8",
        b"",
    ]
)
#: Where a document is spoiled, as shares of it, how much is replaced, by what.
SPOILS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 1.0), strategies.integers(0, 3), SPOILED
    ),
    min_size=1,
    max_size=3,
)
VALID_CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "hostname": "h.example",
            "path_prefix": "/a/",
            "service": "huvo11a",
            "type": "streaming",
            "stream_resume": True,
        }
    ],
    "services": [{"name": "huvo11a", "max_connections": 5}],
    "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 5}],
    "limits": {},
}


def _spoil(document, spoils):
    body = json.dumps(document).encode()
    for place, length, spoiled in spoils:
        start = int(place * len(body))
        body = body[:start] + spoiled + body[start + length :]
    return body


def _write_everything(directory, calls):
    """Write all that tells of runners, as a VM does."""
    assert directory.checksum >= 0
    listed = directory.runners
    counts = {runner.runner_id: 1 for runner in listed}
    record = vm_records.VmRecord(
        "vm",
        1,
        1,
        "10.0.0.1:1",
        "10.0.0.1:2",
        "dc",
        in_flight=counts,
        silent=sorted(counts),
        runners=directory.checksum,
    )
    vm_records.VmRecord.from_record(
        msgpack.unpackb(msgpack.packb(record.to_record()))
    )
    entries, gone = directory.changes_after(-1)
    packed = msgpack.packb([[e.to_record() for e in entries], gone])
    peer_http.unpack_runners(packed)
    for runner in listed:
        logs.event("runner_leaving", runner=runner.runner_id)
        head = adapter_upstreams.AdapterRunnerDialect().encode_request(
            _call(), _parameters(runner)
        )
        assert head.count(b"\r\n") == head.rstrip().count(b"\r\n") + 2
        assert b"\r\nX: 1" not in head
        assert runner.address.isascii()
    calls.refresh()


def _call():
    return messages.CallerCall(
        "POST", "/a/x", "h.example", [], b"", "id-1", 1.0, "", None, None, 0.0
    )


def _parameters(runner):
    return messages.RunnerCallParameters(
        runner.runner_id, "t", 1.0, None, None
    )


def _new_vm():
    clock = clocks.ManualClock()
    directory = directories.RunnerDirectory(clock)
    calls = upstreams.Upstreams(clock, random.Random(1), "vm", "dc", directory)
    calls.configure(
        documents.AdapterPlatformDialect().parse_configuration(
            VALID_CONFIGURATION
        )
    )
    listener = store_listeners.RunnerEntryListener(
        directory,
        documents.AdapterPlatformDialect(),
        lambda ended: calls.refresh(),
        clock,
    )
    return directory, calls, listener


#: Whole JSON values, as bytes, that a field of an entry may have.
VALUES = strategies.sampled_from(
    [
        b'"v\xed\xa0\xbd"',
        b'"\\ud83d"',
        b'"\\udc00\\ud83d"',
        b'"a\\u0000b"',
        b'"a\\r\\nX: 1"',
        b'"\xff"',
        b'"\xe2\x80\xa8"',
        b'""',
        b'"' + b"a" * 5000 + b'"',
        b"[" * 1500 + b"]" * 1500,
        b'{"a":' * 90 + b"1" + b"}" * 90,
        b"1" * 5000,
        b"1e999",
        b"NaN",
        b"-1",
        b"null",
        b'{"\\ud83d": 1}',
        b'{"a": 1, "a": 2}',
    ]
)
FIELDS = strategies.sampled_from(
    ["metadata", "name", *adapter_entries.VALID_ENTRY, "unknown"]
)


def _entry_with(number, field, value):
    """An entry as bytes, one of whose fields has a value given as bytes."""
    entry = adapter_entries._object(
        f"bad-{number}", 2, dict(adapter_entries.VALID_ENTRY)
    )
    part = entry
    if field == "name":
        part = entry["metadata"]
    elif field != "metadata":
        part = entry["spec"]
    part[field] = "@"
    return json.dumps(entry).encode().replace(b'"@"', value)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.tuples(FIELDS, VALUES), min_size=1, max_size=3)
)
def _check_entries(fields):
    good = adapter_entries._object("good", 1, adapter_entries.VALID_ENTRY)
    marks = [f"@{number}@" for number in range(len(fields))]
    body = json.dumps(adapter_entries._page(*marks, good)).encode()
    for number, (field, value) in enumerate(fields):
        entry = _entry_with(number, field, value)
        body = body.replace(f'"@{number}@"'.encode(), entry)
    directory, calls, listener = _new_vm()
    listener.listed(objects.ObjectStoreCodec().decode_page(body))
    available = directory.available_runners("huvo11a")
    assert "good" in [runner.name for runner in available], body
    _write_everything(directory, calls)


@SETTINGS
@hypothesis.given(SPOILS)
def _check_pages(spoils):
    page = adapter_entries._page(
        adapter_entries._object("one", 1, adapter_entries.VALID_ENTRY),
        adapter_entries._object("other", 2, adapter_entries.VALID_ENTRY),
    )
    directory, calls, listener = _new_vm()
    try:
        found = objects.ObjectStoreCodec().decode_page(_spoil(page, spoils))
    except ValueError:
        return
    listener.listed(found)
    _write_everything(directory, calls)


@SETTINGS
@hypothesis.given(SPOILS)
def _check_configurations(spoils):
    document = adapter_entries._object("main", 1, VALID_CONFIGURATION)
    try:
        stored = objects.ObjectStoreCodec().decode_object(
            _spoil(document, spoils)
        )
        found = documents.AdapterPlatformDialect().parse_configuration(
            stored.spec
        )
    except ValueError:
        return
    packed = peer_http.pack_configuration(stored.spec)
    peer_http.unpack_configuration(packed)
    for customer in found.customers:
        usage = usage_windows.UsageWindows(clocks.ManualClock(), "vm#1", 5.0)
        usage.record_call(customer)
        msgpack.packb(usage.own_counts(0))
        assert "\n" not in customer
    directory, calls, _ = _new_vm()
    calls.configure(found)
    directory.apply_entry(
        runners.Runner("r", "huvo11a", "10.0.0.1", 80, "dc", 4, revision=1)
    )
    _write_everything(directory, calls)


@when("the store's list holds a sound entry beside any spoiled ones")
@when("the store holds any spoiled configuration")
def _generate(context):
    """Generate the cases in the step that checks them."""


@then(
    "the sound runner is known, and all that tells of runners can be written"
)
def _check_all_entries(context):
    _check_entries()
    _check_pages()


@then("it is refused, or all that tells of it can be written")
def _check_all_configurations(context):
    _check_configurations()
