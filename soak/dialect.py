"""Dialect of the VMs in a soak test: JSON with the product's own names."""

import json
import os
import typing
import urllib.parse

from apricotlever.serving import configuration_model
from apricotlever.serving import dialects
from apricotlever.serving import runners
from apricotlever.serving import store
from apricotlever import validation
from standins import plain_dialect

#: The variable of the environment that names the VM of this process.
VM_VARIABLE = "SOAK_VM"
CONFIGURATION_KIND = "configurations"
CONFIGURATION_NAME = "main"
RUNNERS_KIND = "runners"


#: The predicate that each field of a runner's entry must satisfy.
_ENTRY_FIELDS: dict[str, validation.Predicate] = {
    "service": validation.is_name,
    "host": validation.is_name,
    "port": validation.is_non_negative_int,
    "data_centre": validation.is_name,
    "concurrency": validation.is_non_negative_int,
    "leaving": validation.is_bool,
    "born": validation.is_non_negative_int,
    "sequence": validation.is_non_negative_int,
    "version": validation.is_name,
}


def _is_valid_entry(spec: store.Json) -> bool:
    return isinstance(spec, dict) and all(
        check(spec.get(name)) for name, check in _ENTRY_FIELDS.items()
    )


class SoakPlatformDialect:
    """Platform dialect of the soak test."""

    configuration_kind = CONFIGURATION_KIND
    configuration_name = CONFIGURATION_NAME
    runners_kind = RUNNERS_KIND
    #: No order of a roll-out is ever written in a soak test.
    roll_outs_kind = "roll_outs"

    def parse_configuration(
        self, spec: store.Json
    ) -> configuration_model.Configuration:
        """Decode a configuration."""
        return configuration_model.Configuration(
            spec["version"],
            [_route(each) for each in spec["routes"]],
            [
                configuration_model.Service(name, 200)
                for name in spec["services"]
            ],
            [
                configuration_model.Customer(name, frozenset(keys))
                for name, keys in spec["customers"].items()
            ],
            configuration_model.CallerLimits(),
        )

    def parse_runner(self, stored: store.StoredObject) -> runners.RunnerEntry:
        """Decode the entry of a runner.

        :returns: an :class:`.UnreadableEntry` for an invalid entry.
        """
        spec = stored.spec
        if not _is_valid_entry(spec):
            return runners.UnreadableEntry(
                stored.name, stored.revision, "spoiled"
            )
        return runners.Runner(
            stored.name,
            spec["service"],
            spec["host"],
            spec["port"],
            spec["data_centre"],
            spec["concurrency"],
            leaving=spec["leaving"],
            revision=stored.revision,
            born=spec["born"],
            sequence=spec["sequence"],
            version=spec["version"],
        )

    def store_codec(self) -> store.Codec:
        """Make the codec of calls to the store."""
        return ObjectApiCodec()

    def usage_report_request(
        self, window: int, counts: typing.Mapping[str, int]
    ) -> tuple[str, bytes]:
        """Return path and body of a usage report."""
        return f"/report/{window}", json.dumps(dict(counts)).encode()

    def runner_order_request(
        self, service: str, data_centre: str, count: int, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Not supported: a soak test orders no runners.

        :raises NotImplementedError: always.
        """
        raise NotImplementedError


def _route(document: dict[str, typing.Any]) -> configuration_model.Route:
    return configuration_model.Route(
        document["name"],
        document["host"],
        document["prefix"],
        ((document["service"], 1.0),),
        configuration_model.CallKind(document["kind"]),
        resumable=document.get("resumable", False),
        timeout_s=document["timeout_s"],
        objective_s=document["objective_s"],
        max_attempts=document["max_attempts"],
    )


class ObjectApiCodec:
    """Codec of the object API stand-in, which names objects ``KIND/NAME``."""

    @property
    def durable(self) -> bool:
        """Always false: the stand-in keeps its objects in memory only."""
        return False

    def list_call(
        self, kind: str, after: str | None, stale: bool
    ) -> store.Call:
        """List a kind; the stand-in returns the whole list in one page."""
        return store.Call("GET", f"/v1/objects?prefix={kind}/")

    def watch_call(
        self, kind: str, revision: int, wait_s: float
    ) -> store.Call:
        """Wait for changes of a kind."""
        query = urllib.parse.urlencode(
            {"prefix": f"{kind}/", "after": revision, "timeout_s": wait_s}
        )
        return store.Call("GET", f"/v1/watch?{query}")

    def get_call(self, kind: str, name: str) -> store.Call:
        """Read one object."""
        return store.Call("GET", f"/v1/objects/{kind}/{name}")

    def create_call(
        self, kind: str, name: str, spec: store.Json
    ) -> store.Call:
        """Create an object."""
        return self.replace_call(kind, name, spec, 0)

    def replace_call(
        self, kind: str, name: str, spec: store.Json, revision: int | None
    ) -> store.Call:
        """Replace the value of an object.

        :param revision: the revision that the object must have; 0 if the
            object must not exist yet, None for any revision.
        """
        query = "" if revision is None else f"?at={revision}"
        body = json.dumps({"value": spec}).encode()
        return store.Call("PUT", f"/v1/objects/{kind}/{name}{query}", body)

    def delete_call(self, kind: str, name: str) -> store.Call:
        """Delete an object."""
        return store.Call("DELETE", f"/v1/objects/{kind}/{name}")

    def decode_page(self, body: bytes) -> store.Page:
        """Decode a list."""
        document = json.loads(body)
        return store.Page(
            [_stored_object(item) for item in document["items"]],
            False,
            document["version"],
        )

    def decode_changes(self, body: bytes) -> store.Changes:
        """Decode the answer to a watch."""
        document = json.loads(body)
        return store.Changes(
            [
                store.Change(_stored_object(event), event["value"] is None)
                for event in document["events"]
            ],
            document["version"],
        )

    def decode_object(self, body: bytes) -> store.StoredObject:
        """Decode one object; the answer to a write has no value."""
        return _stored_object(json.loads(body))


def _stored_object(document: dict[str, typing.Any]) -> store.StoredObject:
    name = document["name"].rpartition("/")[2]
    return store.StoredObject(
        name, document["version"], document.get("value"), None
    )


@dialects.register_dialect("soak")
def make_dialect() -> dialects.Dialect:
    """Make the dialect of the soak test."""
    return dialects.Dialect(
        plain_dialect.PlainCallerDialect(),
        plain_dialect.PlainRunnerDialect(os.environ[VM_VARIABLE]),
        SoakPlatformDialect(),
    )
