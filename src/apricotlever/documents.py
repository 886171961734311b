"""Strict parsing and validation of JSON documents that people write.

Settings and catalogues come from editors, scripts and the platform. A
document is either accepted whole or rejected with the field, its value and
the value expected there; nothing is guessed or rounded.
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
RuleDescriber = typing.Callable[[Json], str]

MAX_REPORTED_FAULTS = 20
MAX_VALUE_CHARACTERS = 80

_rule_describers: dict[str, RuleDescriber] = {}


class Fault:
    """One validation error in a JSON document.

    :param field: dotted path of the field, empty for the whole document.
    :param value: the value found there.
    :param expected: the value expected there, as a noun phrase.
    """

    __slots__ = ("field", "value", "expected")

    def __init__(self, field: str, value: Json, expected: str) -> None:
        self.field = field
        self.value = value
        self.expected = expected

    def __str__(self) -> str:
        location = self.field or "the document"
        return (
            f"{location}: got {abbreviated_json(self.value)}, "
            f"want {self.expected}"
        )


class DocumentInvalid(errors.ApricotleverError):
    """A JSON document was rejected because some of its fields are invalid.

    :param kind: the kind of document, for the message.
    :param faults: the validation errors, at least one.
    """

    def __init__(
        self, kind: str, faults: collections.abc.Sequence[Fault]
    ) -> None:
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(f"invalid {kind}: {lines}")
        self._faults = tuple(faults)

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The validation errors, at most ``MAX_REPORTED_FAULTS``."""
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
    def expected(self) -> str:
        """The value expected in the first faulty field, as a noun phrase."""
        return self._faults[0].expected


class NotJson(errors.ApricotleverError):
    """The text is not JSON that :func:`loads` accepts."""


def abbreviated_json(value: Json) -> str:
    """Format a value as JSON, cut to ``MAX_VALUE_CHARACTERS``."""
    text = json.dumps(value, default=str)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[:MAX_VALUE_CHARACTERS] + "..."


def loads(text: str | bytes) -> Json:
    """Parse JSON strictly.

    Python's parser keeps the last of two equal keys and accepts NaN. Either
    could apply a value that the author did not intend: an entry that was
    pasted twice, or a limit that no number exceeds.

    :param text: the document; bytes are decoded as UTF-8.
    :returns: the parsed document.
    :raises NotJson: if the text is not JSON, repeats a key in an object or
        holds NaN or an infinity.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=_object_with_unique_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise NotJson(f"not valid JSON: {error}") from error


def encode_json(document: Json) -> bytes:
    """Encode a document as compact JSON in UTF-8.

    :raises ValueError: if the document holds NaN or an infinity.
    """
    text = json.dumps(document, separators=(",", ":"), allow_nan=False)
    return text.encode("utf-8")


def load_schema(package: str, name: str) -> dict[str, Json]:
    """Load a JSON schema that is shipped inside a package.

    :param package: the dotted name of the package.
    :param name: the file name of the schema.
    """
    text = importlib.resources.files(package).joinpath(name).read_text()
    return typing.cast("dict[str, Json]", json.loads(text))


def find_faults(document: Json, schema: dict[str, Json]) -> list[Fault]:
    """Validate a document against a JSON schema.

    :param document: parsed JSON.
    :param schema: a JSON schema, draft 2020-12.
    :returns: at most ``MAX_REPORTED_FAULTS`` distinct faults, sorted by the
        path of the field; empty when the document is valid.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors_found = sorted(validator.iter_errors(document), key=_field_path)
    found = itertools.chain.from_iterable(map(_faults_of_error, errors_found))
    distinct = {str(fault): fault for fault in found}
    return list(distinct.values())[:MAX_REPORTED_FAULTS]


def describes(keyword: str) -> typing.Callable[[RuleDescriber], RuleDescriber]:
    """Register a function that describes the rule of a schema keyword.

    The function takes the keyword's value in the schema and returns the
    value that is expected in a document, as a noun phrase.

    :param keyword: a keyword of JSON schema, such as ``minimum``.
    """

    def register(function: RuleDescriber) -> RuleDescriber:
        _rule_describers[keyword] = function
        return function

    return register


@describes("type")
def _describe_type(rule: Json) -> str:
    types = rule if isinstance(rule, list) else [rule]
    return "a value of type " + " or ".join(types)


@describes("enum")
def _describe_enum(rule: Json) -> str:
    return "one of " + ", ".join(abbreviated_json(value) for value in rule)


@describes("minimum")
def _describe_minimum(rule: Json) -> str:
    return f"at least {rule}"


@describes("exclusiveMinimum")
def _describe_exclusive_minimum(rule: Json) -> str:
    return f"more than {rule}"


@describes("maximum")
def _describe_maximum(rule: Json) -> str:
    return f"at most {rule}"


@describes("pattern")
def _describe_pattern(rule: Json) -> str:
    return f"text that matches {rule}"


@describes("minLength")
def _describe_min_length(rule: Json) -> str:
    return f"at least {rule} characters"


@describes("maxLength")
def _describe_max_length(rule: Json) -> str:
    return f"at most {rule} characters"


@describes("maxItems")
def _describe_max_items(rule: Json) -> str:
    return f"at most {rule} items"


@describes("uniqueItems")
def _describe_unique_items(_rule: Json) -> str:
    return "a list without duplicate items"


def _field_path(error: jsonschema.ValidationError) -> str:
    return ".".join(str(part) for part in error.absolute_path)


def _faults_of_error(error: jsonschema.ValidationError) -> list[Fault]:
    path = _field_path(error)
    keyword = str(error.validator)
    rule: Json = error.validator_value
    value: Json = error.instance
    if keyword == "required":
        return [
            Fault(
                _join_path(path, name), None, "a value, the field is required"
            )
            for name in rule
            if name not in value
        ]
    if keyword == "additionalProperties":
        schema: Json = error.schema
        known = schema["properties"]
        expected = "only the fields " + ", ".join(known)
        return [
            Fault(_join_path(path, name), value[name], expected)
            for name in value
            if name not in known
        ]
    describe = _rule_describers.get(keyword)
    return [Fault(path, value, describe(rule) if describe else error.message)]


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _object_with_unique_keys(
    pairs: list[tuple[str, Json]],
) -> dict[str, Json]:
    counts = collections.Counter(name for name, _ in pairs)
    repeated = [name for name, count in counts.items() if count > 1]
    if repeated:
        raise ValueError(f"duplicate key {abbreviated_json(repeated[0])}")
    return dict(pairs)


def _reject_constant(name: str) -> Json:
    raise ValueError(f"{name} is not a JSON number")
