"""Strict reading and checking of JSON documents that people write.

Settings and catalogues come from editors, scripts and the platform. A
document is either taken whole or refused with the field, its value and what
is wanted there; nothing is guessed or rounded.
"""

import collections
import collections.abc
import importlib.resources
import itertools
import json
import typing

import jsonschema

from . import errors

Json = typing.Any
Phrase = typing.Callable[[Json], str]

FAULTS_SHOWN_MAX = 20
VALUE_SHOWN_CHARACTERS = 80

_phrases: dict[str, Phrase] = {}


class Fault:
    """One thing wrong with a document.

    :param field: dotted path of the field, empty for the whole document.
    :param value: what stands there.
    :param wanted: what should stand there, as a noun phrase.
    """

    __slots__ = ("field", "value", "wanted")

    def __init__(self, field: str, value: Json, wanted: str) -> None:
        self.field = field
        self.value = value
        self.wanted = wanted

    def __str__(self) -> str:
        place = self.field or "the document"
        return f"{place}: got {shown(self.value)}, want {self.wanted}"


class DocumentInvalid(errors.ApricotleverError):
    """A document was refused.

    :param kind: what the document is, for the message.
    :param faults: at least one fault.
    """

    def __init__(
        self, kind: str, faults: collections.abc.Sequence[Fault]
    ) -> None:
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(f"invalid {kind}: {lines}")
        self._faults = tuple(faults)

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Everything found wrong, at most ``FAULTS_SHOWN_MAX``."""
        return self._faults

    @property
    def field(self) -> str:
        """The dotted path of the first faulty field."""
        return self._faults[0].field

    @property
    def value(self) -> Json:
        """The value of the first faulty field."""
        return self._faults[0].value

    @property
    def wanted(self) -> str:
        """What the first faulty field should hold."""
        return self._faults[0].wanted


class NotJson(errors.ApricotleverError):
    """The text is not the JSON that apricotlever reads."""


def shown(value: Json) -> str:
    """A value as compact JSON, cut to a readable length."""
    text = json.dumps(value, default=str)
    if len(text) <= VALUE_SHOWN_CHARACTERS:
        return text
    return text[:VALUE_SHOWN_CHARACTERS] + "..."


def loads(text: str | bytes) -> Json:
    """Parse JSON strictly.

    Python's parser keeps the last of two equal keys and takes NaN. Either
    would put something in force that the author did not mean: an entry
    pasted twice, or a limit that no number exceeds.

    :param text: the document, UTF-8 when given as bytes.
    :raises NotJson: if the text is not JSON, repeats a key or holds NaN.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_object_without_repeats,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise NotJson(f"not valid JSON: {error}") from error


def encoded(document: Json) -> bytes:
    """Compact JSON in UTF-8."""
    text = json.dumps(document, separators=(",", ":"), allow_nan=False)
    return text.encode("utf-8")


def schema_of(package: str, name: str) -> dict[str, Json]:
    """Load a JSON schema that is shipped inside a package."""
    text = importlib.resources.files(package).joinpath(name).read_text()
    return typing.cast("dict[str, Json]", json.loads(text))


def faults_of(document: Json, schema: dict[str, Json]) -> list[Fault]:
    """What a document's shape breaks in a schema, the first fields first.

    :param document: parsed JSON.
    :param schema: a JSON schema, draft 2020-12.
    :returns: at most ``FAULTS_SHOWN_MAX`` faults; empty when it fits.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors_found = sorted(validator.iter_errors(document), key=_path_of)
    found = itertools.chain.from_iterable(map(_faults_from, errors_found))
    distinct = {str(fault): fault for fault in found}
    return list(distinct.values())[:FAULTS_SHOWN_MAX]


def phrase(keyword: str) -> typing.Callable[[Phrase], Phrase]:
    """Register how a schema keyword is put into words.

    :param keyword: a keyword of JSON schema, such as ``minimum``.
    """

    def register(function: Phrase) -> Phrase:
        _phrases[keyword] = function
        return function

    return register


@phrase("type")
def _wanted_type(wanted: Json) -> str:
    kinds = wanted if isinstance(wanted, list) else [wanted]
    return "a value of type " + " or ".join(kinds)


@phrase("enum")
def _wanted_enum(wanted: Json) -> str:
    return "one of " + ", ".join(shown(value) for value in wanted)


@phrase("minimum")
def _wanted_minimum(wanted: Json) -> str:
    return f"at least {wanted}"


@phrase("exclusiveMinimum")
def _wanted_exclusive_minimum(wanted: Json) -> str:
    return f"more than {wanted}"


@phrase("maximum")
def _wanted_maximum(wanted: Json) -> str:
    return f"at most {wanted}"


@phrase("pattern")
def _wanted_pattern(wanted: Json) -> str:
    return f"text that matches {wanted}"


@phrase("minLength")
def _wanted_length(wanted: Json) -> str:
    return f"at least {wanted} characters"


@phrase("maxLength")
def _wanted_shortness(wanted: Json) -> str:
    return f"at most {wanted} characters"


@phrase("maxItems")
def _wanted_few(wanted: Json) -> str:
    return f"at most {wanted} items"


@phrase("uniqueItems")
def _wanted_unique(_wanted: Json) -> str:
    return "no item twice"


def _path_of(error: jsonschema.ValidationError) -> str:
    return ".".join(str(part) for part in error.absolute_path)


def _faults_from(error: jsonschema.ValidationError) -> list[Fault]:
    path = _path_of(error)
    keyword = str(error.validator)
    rule: Json = error.validator_value
    value: Json = error.instance
    if keyword == "required":
        return [
            Fault(_join(path, name), None, "a value, it is required")
            for name in rule
            if name not in value
        ]
    if keyword == "additionalProperties":
        schema: Json = error.schema
        known = schema["properties"]
        wanted = "only the fields " + ", ".join(known)
        return [
            Fault(_join(path, name), value[name], wanted)
            for name in value
            if name not in known
        ]
    words = _phrases.get(keyword)
    return [Fault(path, value, words(rule) if words else error.message)]


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _object_without_repeats(
    pairs: list[tuple[str, Json]],
) -> dict[str, Json]:
    counts = collections.Counter(name for name, _ in pairs)
    repeated = [name for name, count in counts.items() if count > 1]
    if repeated:
        raise ValueError(f"the key {shown(repeated[0])} stands twice")
    return dict(pairs)


def _refuse_constant(name: str) -> Json:
    raise ValueError(f"{name} is not a JSON number")
