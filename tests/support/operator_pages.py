"""Reads the tables of the operators' pages and derives them from schemas.

Tests compare the two, so that a page that is out of date fails a test.
"""

import pathlib
import re
import typing

Json = typing.Any

OPERATOR_DOCS_FOLDER = pathlib.Path("docs/operators")
NAME_PLACEHOLDER = "NAME"


def table_rows(page: str, heading: str) -> list[tuple[str, ...]]:
    """The cells of the table under a heading, without its header row.

    :param page: the page's file name.
    :param heading: the text of a second-level heading.
    """
    text = (OPERATOR_DOCS_FOLDER / page).read_text()
    section = text.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    lines = re.findall(r"^\| (.+) \|$", section, re.MULTILINE)
    return [tuple(line.split(" | ")) for line in lines[1:]]


def schema_field_rows(schema: Json) -> list[tuple[str, ...]]:
    """The table rows that describe a JSON schema, one per field.

    :returns: for each field its path, ``required``, ``optional`` or the
        default, and its description.
    """
    return list(_iter_schema_field_rows(schema, schema, ""))


def _iter_schema_field_rows(
    schema: Json, root: Json, path: str
) -> typing.Iterator[tuple[str, ...]]:
    required = schema.get("required", ())
    for name, part in schema.get("properties", {}).items():
        target = _resolve_reference(part, root)
        field = f"{path}{name}"
        if "description" in part:
            requirement = (
                "required" if name in required else _default_text(part)
            )
            yield f"`{field}`", requirement, part["description"]
        yield from _iter_schema_field_rows(target, root, f"{field}.")
        values = target.get("additionalProperties")
        if isinstance(values, dict):
            values = _resolve_reference(values, root)
            yield from _iter_schema_field_rows(
                values, root, f"{field}.{NAME_PLACEHOLDER}."
            )


def _default_text(part: Json) -> str:
    return f"`{part['default']}`" if "default" in part else "optional"


def _resolve_reference(part: Json, root: Json) -> Json:
    reference = part.get("$ref")
    if reference is None:
        return part
    return root["$defs"][reference.rpartition("/")[2]]
