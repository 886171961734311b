"""The example catalogues as JSON documents."""

import json
import pathlib
import typing

PROCURADOR = pathlib.Path("examples/procurador.json")
CONSORZIO = pathlib.Path("examples/consorzio.json")
BOTH = pathlib.Path("examples/catalogue.json")


def document(path: pathlib.Path = PROCURADOR) -> typing.Any:
    """Read an example catalogue.

    :param path: the file, relative to the root of the repository.
    """
    return json.loads(path.read_text())


def changed(original: typing.Any, field: str, value: typing.Any) -> typing.Any:
    """Copy a document and set one of its fields.

    :param original: the document to copy.
    :param field: the dotted path of the field.
    :param value: the new value of the field.
    """
    copy = json.loads(json.dumps(original))
    *parents, last = field.split(".")
    parent = copy
    for name in parents:
        parent = parent[name]
    parent[last] = value
    return copy
