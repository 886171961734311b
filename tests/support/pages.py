"""Tables of the operators' pages, and what they must equal."""

import pathlib
import re
import typing

Json = typing.Any

PAGES = pathlib.Path("docs/operators")
ANY_NAME = "NAME"


def rows(page: str, heading: str) -> list[tuple[str, ...]]:
    """The cells of the table under a heading, without its heading.

    :param page: the page's file name.
    :param heading: a second-level heading.
    """
    text = (PAGES / page).read_text()
    section = text.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    lines = re.findall(r"^\| (.+) \|$", section, re.MULTILINE)
    return [tuple(line.split(" | ")) for line in lines[1:]]


def fields(schema: Json) -> list[tuple[str, ...]]:
    """Each field of a schema: name, whether needed or default, meaning."""
    return list(_fields(schema, schema, ""))


def _fields(
    schema: Json, root: Json, path: str
) -> typing.Iterator[tuple[str, ...]]:
    required = schema.get("required", ())
    for name, part in schema.get("properties", {}).items():
        target = _resolved(part, root)
        field = f"{path}{name}"
        if "description" in part:
            needed = "required" if name in required else _default(part)
            yield f"`{field}`", needed, part["description"]
        yield from _fields(target, root, f"{field}.")
        inner = target.get("additionalProperties")
        if isinstance(inner, dict):
            inner = _resolved(inner, root)
            yield from _fields(inner, root, f"{field}.{ANY_NAME}.")


def _default(part: Json) -> str:
    return f"`{part['default']}`" if "default" in part else "optional"


def _resolved(part: Json, root: Json) -> Json:
    reference = part.get("$ref")
    if reference is None:
        return part
    return root["$defs"][reference.rpartition("/")[2]]
