"""Commands that validate, edit and show the catalogue."""

import argparse
import datetime
import json
import typing

from .. import catalogue
from .. import documents
from ..catalogue import difference
from ..catalogue import edit
from . import catalogue_store
from . import command_registry
from . import errors

Json = typing.Any

_CHANGE_SIGNS = {
    difference.ADDED: "+",
    difference.REMOVED: "-",
    difference.CHANGED: "~",
}


def format_changes(changes: tuple[difference.Change, ...]) -> str:
    """Format changes, one line for each field that differs."""
    return "\n".join(map(_format_change, changes))


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "file", help="a catalogue in JSON; - reads standard input"
    )


def _add_expect_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expect",
        type=int,
        metavar="VERSION",
        help="change nothing unless this version is in force; 0 for none",
    )


def _add_apply_arguments(parser: argparse.ArgumentParser) -> None:
    _add_file_argument(parser)
    _add_expect_argument(parser)
    parser.add_argument(
        "--merge",
        action="store_true",
        help="replace only the parts in the file and keep everything else",
    )


def _add_delete_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("name", help="name of an entry")
    _add_expect_argument(parser)


def _add_show_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--version",
        type=int,
        help="an older version that is kept in the history",
    )


def _add_diff_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "to", help="a file or a version number", metavar="FILE|VERSION"
    )
    parser.add_argument(
        "--from",
        dest="base",
        type=int,
        metavar="VERSION",
        help="compare with this version instead of the one in force",
    )


@command_registry.command(
    "catalogue", "validate", arguments=_add_file_argument
)
def validate(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """Validate a file without connecting to the platform."""
    document = invocation.load_document()
    parsed = catalogue.parse(document, 0)
    counts = {
        "entries": len(parsed.entries),
        "classes": len(parsed.classes),
        "customers": len(parsed.customers),
    }
    text = " ".join(f"{name}={count}" for name, count in counts.items())
    return command_registry.Report({"valid": True, **counts}, f"valid {text}")


@command_registry.command("catalogue", "apply", arguments=_add_apply_arguments)
def apply(invocation: command_registry.Invocation) -> command_registry.Report:
    """Put a file in force, unless a concurrent edit came first."""
    document = invocation.load_document()
    options = invocation.options
    if not isinstance(document, dict):
        raise errors.InvalidInput("the catalogue must be a JSON object")
    expected = options.expect
    if options.merge:
        return _edit_report(_merge_overlay(invocation, document, expected))
    catalogue.parse(document, 0)
    if expected is None:
        expected = edit.expected_version(document)
    return _edit_report(invocation.store().replace(document, expected))


@command_registry.command(
    "catalogue", "delete", arguments=_add_delete_arguments
)
def delete(invocation: command_registry.Invocation) -> command_registry.Report:
    """Delete an entry from the catalogue in force."""
    options = invocation.options

    def transform(document: Json) -> Json:
        if options.name not in document["entries"]:
            raise errors.InvalidInput(f"there is no entry {options.name}")
        return edit.without_entry(document, options.name)

    return _edit_report(invocation.store().update(transform, options.expect))


@command_registry.command("catalogue", "show", arguments=_add_show_arguments)
def show(invocation: command_registry.Invocation) -> command_registry.Report:
    """Print the catalogue in force, ready to edit and apply."""
    store = invocation.store()
    wanted = invocation.options.version
    version = store.current() if wanted is None else store.version(wanted)
    document = edit.editable_document(version)
    text = json.dumps(document, indent=2)
    report = {"version": version.version, "document": version.document}
    return command_registry.Report(report, text)


@command_registry.command("catalogue", "list")
def list_entries(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """List the entries in force."""
    version = invocation.store().current()
    entries = version.document.get("entries", {})
    rows = [_entry_row(name, entries[name]) for name in sorted(entries)]
    lines = [f"version={version.version} entries={len(rows)}"]
    lines += [" ".join(f"{k}={v}" for k, v in row.items()) for row in rows]
    report = {"version": version.version, "entries": rows}
    return command_registry.Report(report, "\n".join(lines))


@command_registry.command("catalogue", "diff", arguments=_add_diff_arguments)
def diff(invocation: command_registry.Invocation) -> command_registry.Report:
    """Show what applying a file or an older version would change."""
    options = invocation.options
    store = invocation.store()
    base = options.base
    before = store.current() if base is None else store.version(base)
    if options.to.isdigit():
        older = store.version(int(options.to))
        after = catalogue.filled_in(older.document)
    else:
        options.file = options.to
        after = catalogue.parse(invocation.load_document(), 0).document
    changes = difference.changes(catalogue.filled_in(before.document), after)
    report = {
        "version": before.version,
        "changes": [change.document for change in changes],
    }
    return command_registry.Report(
        report, format_changes(changes) or "no difference"
    )


@command_registry.command("catalogue", "history")
def history(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """List the versions in the history, newest first."""
    stamps = invocation.store().history()
    lines = [
        f"version={stamp.version} at={_format_time(stamp.at)} "
        f"by={stamp.by or '-'} edit={stamp.edit_id or '-'}"
        for stamp in stamps
    ]
    report = {"versions": [stamp.document for stamp in stamps]}
    return command_registry.Report(
        report, "\n".join(lines) or "no version yet"
    )


def _merge_overlay(
    invocation: command_registry.Invocation,
    overlay: Json,
    expected: int | None,
) -> catalogue_store.EditResult:
    invalid = [
        section
        for section in difference.SECTIONS
        if not isinstance(overlay.get(section, {}), dict)
    ]
    if invalid:
        raise errors.InvalidInput(f"{invalid[0]}: must be a JSON object")
    return invocation.store().update(
        lambda document: edit.apply_overlay(document, overlay), expected
    )


def _edit_report(
    edited: catalogue_store.EditResult,
) -> command_registry.Report:
    changes = edited.changes
    lines = [format_changes(changes), f"version={edited.version}"]
    if not changes:
        lines = [f"version={edited.version} nothing to change"]
    report = {
        "version": edited.version,
        "changes": [change.document for change in changes],
    }
    return command_registry.Report(report, "\n".join(lines))


def _entry_row(name: str, entry: Json) -> dict[str, Json]:
    return {
        "entry": name,
        "kind": entry.get("kind"),
        "class": entry.get("class"),
        "pool": entry.get("upstreams", {}).get("pool"),
        "owner": documents.abbreviated_json(entry.get("owner")),
    }


def _format_change(change: difference.Change) -> str:
    sign = _CHANGE_SIGNS[change.kind]
    if change.kind == difference.CHANGED:
        before = documents.abbreviated_json(change.before)
        return (
            f"{sign} {change.field}: {before} -> "
            + documents.abbreviated_json(change.after)
        )
    value = change.after if change.kind == difference.ADDED else change.before
    return f"{sign} {change.field}: {documents.abbreviated_json(value)}"


def _format_time(at: float) -> str:
    if not at:
        return "-"
    moment = datetime.datetime.fromtimestamp(at, datetime.timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
