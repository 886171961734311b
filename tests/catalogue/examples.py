"""The example catalogues, as documents."""

import json
import pathlib
import typing

PROCURADOR = pathlib.Path("examples/procurador.json")
CONSORZIO = pathlib.Path("examples/consorzio.json")
BOTH = pathlib.Path("examples/catalogue.json")


def document(path: pathlib.Path = PROCURADOR) -> typing.Any:
    """Read an example."""
    return json.loads(path.read_text())


def changed(original: typing.Any, field: str, value: typing.Any) -> typing.Any:
    """A copy of a document with one field set.

    :param field: names joined by dots.
    """
    copy = json.loads(json.dumps(original))
    *parents, last = field.split(".")
    place = copy
    for name in parents:
        place = place[name]
    place[last] = value
    return copy
