"""Steps for tests/pages.feature."""

import pathlib
import re

from behave import then

ROOT = pathlib.Path(__file__).parents[2]
#: Folders that the paths on the pages start from.
STARTS = (ROOT, ROOT / "src" / "apricotlever", ROOT / "tests")
#: A source file or scenario file, with its folder or without.
FILE_NAME = re.compile(r"`([\w/]+\.(?:py|feature))(?::\d+)?`")
#: Names that stand for any file.
PLACEHOLDERS = re.compile(r"NAME|PACKAGE")


def _exists(name, known_names):
    if "/" not in name:
        return name in known_names
    return any((start / name).exists() for start in STARTS)


@then("no page names a file that is gone")
def _check_pages(context):
    known_names = {
        path.name
        for folder in ("src", "tests", "bench", "soak", "platform", "standins")
        for path in (ROOT / folder).rglob("*.*")
    }
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    gone = [
        f"{page.relative_to(ROOT)}: {name}"
        for page in pages
        for name in sorted(set(FILE_NAME.findall(page.read_text())))
        if not PLACEHOLDERS.search(name) and not _exists(name, known_names)
    ]
    assert not gone, gone
