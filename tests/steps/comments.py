"""Steps for tests/comments.feature."""

import io
import pathlib
import re
import tokenize

from behave import then

ROOT = pathlib.Path(__file__).parents[2]
FOLDERS = ("src/apricotlever", "platform")
GENERATED = ("_pb2.py", "_grpc.py")
#: Phrases that occur only in reports of measurements.
MEASUREMENT_REPORT = re.compile(
    r"\bplayed days?\b|\bat equal seeds\b|\bfull scores?\b"
    r"|\bworth (was |only |is )?0\.\d|\bmodelled day\b"
    r"|\bVMs (they )?(took|take)\b"
    r"|\b(takes?|took) [^.]{0,40}\b\d[\d.,]* ?(us|ms|kB|MB)\b"
    r"|\b(takes?|took) [^.]{0,40}\bin \d[\d.,]* ?(us|ms)\b",
    re.IGNORECASE,
)


def _comments_and_docstrings(path):
    """Find the comments and docstrings of a file.

    Comments on consecutive lines are joined into one.

    :returns: an iterator of pairs of line number and text.
    """
    row = []
    tokens = tokenize.generate_tokens(io.StringIO(path.read_text()).readline)
    for token in tokens:
        if token.type == tokenize.COMMENT:
            if row and token.start[0] != row[-1].start[0] + 1:
                yield _joined(row)
                row = []
            row.append(token)
        elif token.type == tokenize.STRING and '"""' in token.string[:4]:
            yield token.start[0], " ".join(token.string.split())
    if row:
        yield _joined(row)


def _joined(row):
    return row[0].start[0], " ".join(t.string.lstrip("#: ") for t in row)


@then("no comment or docstring reports a measurement")
def _no_report(context):
    found = [
        f"{path.relative_to(ROOT)}:{line}"
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
        if not path.name.endswith(GENERATED)
        for line, text in _comments_and_docstrings(path)
        if MEASUREMENT_REPORT.search(text)
    ]
    assert not found, found


@then('"{comment}" is detected as a report of a measurement')
def _detected(context, comment):
    assert MEASUREMENT_REPORT.search(comment)


@then('"{comment}" is not detected as a report of a measurement')
def _not_detected(context, comment):
    assert not MEASUREMENT_REPORT.search(comment)
