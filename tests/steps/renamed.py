"""Steps for tests/renamed.feature.

Each check takes the root of a source tree and returns its findings.
"""

import ast
import pathlib
import re
import tempfile

from behave import given
from behave import then

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = "src/apricotlever"
#: Paths of the glossary that begin so are relative to the root, all others to
#: the package.
ROOT_FOLDERS = ("bench/", "tests/", "platform/", "soak/")
SECTION = "## Renamed"
MODULE_HEADER = ("old module", "now")
CLASS_HEADER = ("old class", "now", "in")
#: The labels of the head of a failure test.
LABEL = re.compile(r"\b(Symptom|Events|Cause):")
MAX_HEAD_LINES = 3
HEADING = re.compile(
    r"(Feature|Rule|Background|Scenario|Scenario Outline|Scenario Template"
    r"|Example):"
)
#: The first line after a description.
BODY = re.compile(
    r'(Given|When|Then|And|But|\*) |(Examples|Scenarios):|[@|]|"""'
)


class Glossary:
    """The tables of renamed modules and classes.

    :param text: the glossary.
    :raises ValueError: if a table is missing or empty, or a row incomplete.
    """

    __slots__ = ("modules", "classes")

    def __init__(self, text):
        #: Pairs of former and new module.
        self.modules = _rows(text, MODULE_HEADER)
        #: Triples of former name, new name and module.
        self.classes = _rows(text, CLASS_HEADER)


def read_glossary():
    return Glossary((ROOT / "docs/GLOSSARY.md").read_text())


def _rows(text, header):
    """Read the rows of the table that has the given header."""
    lines = iter(text.partition(f"\n{SECTION}\n")[2].splitlines())
    for line in lines:
        if _cells(line) == header:
            break
    next(lines, None)
    rows = []
    for line in lines:
        if not line.startswith("|"):
            break
        rows.append(_cells(line))
    if not rows or any(len(row) != len(header) for row in rows):
        raise ValueError(f"bad or missing table: {header}")
    return rows


def _cells(line):
    return tuple(cell.strip(" `") for cell in line.strip("|").split("|"))


def _path(module):
    if module.startswith(ROOT_FOLDERS):
        return f"{module}.py"
    return f"{PACKAGE}/{module}.py"


def former_modules(root, glossary):
    """Find modules that bear a former name no other module has taken over."""
    current = {new for _, new in glossary.modules}
    return [
        _path(old)
        for old, _ in glossary.modules
        if old not in current and (root / _path(old)).exists()
    ]


def missing_modules(root, glossary):
    """Find new modules that don't exist."""
    return [
        _path(new)
        for new in sorted({new for _, new in glossary.modules})
        if not (root / _path(new)).is_file()
    ]


def former_class_names(root, glossary):
    """Find former names that their module defines, unless taken over."""
    current = {(new, module) for _, new, module in glossary.classes}
    return [
        f"{_path(module)}: {old}"
        for old, _, module in glossary.classes
        if (old, module) not in current
        and old in _defined_names(root / _path(module))
    ]


def missing_class_names(root, glossary):
    """Find new names that their module doesn't define."""
    return [
        f"{_path(module)}: {new}"
        for _, new, module in glossary.classes
        if new not in _defined_names(root / _path(module))
    ]


def _defined_names(path):
    """Find the names that a module defines at its top level.

    A module that doesn't exist defines none.
    """
    if not path.is_file():
        return set()
    return set(_names(ast.parse(path.read_text())))


def _names(node):
    for child in ast.iter_child_nodes(node):
        if isinstance(
            child, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
        ):
            yield child.name
        elif isinstance(child, ast.Name):
            if isinstance(child.ctx, ast.Store):
                yield child.id
        elif not isinstance(child, (ast.Lambda, ast.comprehension)):
            yield from _names(child)


def long_heads(root, _glossary=None):
    """Find heads of failure tests that are longer than three lines.

    A head is what a comment or description contains from its first label on.
    """
    return [
        f"{path.relative_to(root)}:{number}: {length} lines"
        for path in sorted((root / "tests").rglob("*.feature"))
        for number, length in _heads(path.read_text())
        if length > MAX_HEAD_LINES
    ]


def _heads(text):
    """Find the first line and the length of each head in a feature file."""
    for block in _blocks(text):
        for index, (number, line) in enumerate(block):
            if LABEL.search(line):
                yield number, len(block) - index
                break


def _blocks(text):
    """Find the comments and descriptions of a feature file.

    An empty line doesn't end a block.

    :returns: an iterator of lists of pairs of line number and line.
    """
    block, block_kind, in_description = [], None, False
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line:
            continue
        if HEADING.match(line):
            kind, in_description = None, True
        elif line.startswith("#"):
            kind = "comment"
        elif BODY.match(line) or not in_description:
            kind, in_description = None, False
        else:
            kind = "description"
        if kind != block_kind:
            yield block
            block, block_kind = [], kind
        if kind:
            block.append((number, line))
    yield block


CHECKS = {
    "former modules": former_modules,
    "missing modules": missing_modules,
    "former class names": former_class_names,
    "missing class names": missing_class_names,
    "long heads": long_heads,
}

CLASS_ROWS = """| `Heir` | `Taker` | `daemon/heir` |
| `Taker` | `Receiver` | `daemon/heir` |
"""
EXAMPLE_GLOSSARY = f"""# Glossary

## Renamed

| old module | now |
|---|---|
| `bench/virtual` | `bench/gossip` |
| `daemon/desk` | `daemon/dispatcher` |
| `daemon/heir` | `daemon/taker` |
| `daemon/son` | `daemon/heir` |

| old class | now | in |
|---|---|---|
{CLASS_ROWS}"""
BENCH = "bench/gossip.py"
DISPATCHER = "src/apricotlever/daemon/dispatcher.py"
TAKER = "src/apricotlever/daemon/taker.py"
HEIR = "src/apricotlever/daemon/heir.py"
FEATURE = "tests/example.feature"
NEW_CLASSES = "class Taker: ...\nclass Receiver: ...\n"
MODULES = {BENCH: "", DISPATCHER: "", TAKER: "", HEIR: NEW_CLASSES}
LABELS = ("Symptom: a.", "Events: b.", "Cause: c.")


def _head(length, prefix=""):
    lines = LABELS + ("and more.",) * (length - len(LABELS))
    return "".join(f"{prefix}{line}\n" for line in lines)


#: The files of each example.
EXAMPLES = {
    "a module of a former name": {"src/apricotlever/daemon/desk.py": ""},
    "a bench of a former name": {"bench/virtual.py": ""},
    "no renamed module": {},
    "the renamed modules": MODULES,
    "a name taken over": {HEIR: ""},
    "a class of a former name": {HEIR: "class Heir:\n    pass\n"},
    "a function of that name": {HEIR: "def Heir():\n    pass\n"},
    "a constant of that name": {HEIR: "A, Heir = 1, 2\n"},
    "an annotated constant": {HEIR: "Heir: int = 1\n"},
    "a class under a condition": {HEIR: "if A:\n    class Heir: ...\n"},
    "no renamed class": {HEIR: "class Other:\n    pass\n"},
    "the renamed class": MODULES,
    "a class name taken over": {HEIR: "class Taker: ...\n"},
    "a former name in a class": {HEIR: "class A:\n    Heir = 1\n"},
    "a comment of 8 lines": {FEATURE: _head(8, "# ") + "Feature: A\n"},
    "a scenario of 8 lines": {
        FEATURE: "Feature: A\n  Scenario: B\n" + _head(8) + "    Given c\n"
    },
    "a feature of 8 lines": {FEATURE: "Feature: A\n" + _head(8)},
    "a head of 4 lines": {FEATURE: _head(4, "# ") + "Feature: A\n"},
    "a head in two parts": {
        FEATURE: f"Feature: A\n\n{_head(3, '# ')}\n# d.\n# e.\n"
    },
    "a head of 3 lines": {FEATURE: _head(3, "# ") + "Feature: A\n"},
    "two heads of 3 lines": {
        FEATURE: f"Feature: A\n{_head(3)}\n{_head(3, '# ')}  Scenario: B\n"
    },
    "a comment without labels": {FEATURE: "# a.\n" * 8 + "Feature: A\n"},
}
#: What each fault replaces in the glossary, and by what.
FAULTS = {
    "no table of modules": ("old module", "module"),
    "no table of classes": ("old class", "class"),
    "an empty table": (CLASS_ROWS, ""),
    "a row of too few cells": ("| `Receiver` ", ""),
}


@then("no module has a former name of the glossary")
def _no_former_module(context):
    found = former_modules(ROOT, read_glossary())
    assert not found, found


@then("each new module of the glossary exists")
def _new_modules(context):
    found = missing_modules(ROOT, read_glossary())
    assert not found, found


@then("no module defines a former class name of the glossary")
def _no_former_class(context):
    found = former_class_names(ROOT, read_glossary())
    assert not found, found


@then("each new class name of the glossary is defined in its module")
def _new_classes(context):
    found = missing_class_names(ROOT, read_glossary())
    assert not found, found


@then("no head in a feature file is longer than three lines")
def _short_heads(context):
    found = long_heads(ROOT)
    assert not found, found


@given("a folder with {example}")
def _example_folder(context, example):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.example_root = pathlib.Path(folder.name)
    for name, text in EXAMPLES[example].items():
        path = context.example_root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


@then('the check for {check} reports "{finding}"')
def _reported(context, check, finding):
    found = CHECKS[check](context.example_root, Glossary(EXAMPLE_GLOSSARY))
    assert finding in found, found


@then("the check for {check} reports nothing")
def _nothing_reported(context, check):
    found = CHECKS[check](context.example_root, Glossary(EXAMPLE_GLOSSARY))
    assert not found, found


@then("a glossary with {fault} is refused")
def _glossary_refused(context, fault):
    old, new = FAULTS[fault]
    text = EXAMPLE_GLOSSARY.replace(old, new)
    assert text != EXAMPLE_GLOSSARY
    try:
        Glossary(text)
    except ValueError:
        return
    raise AssertionError("accepted")
