"""Steps for tests/bench/capacity_page.feature."""

import json
import pathlib
import shutil
import tempfile
import typing

import behave

from bench import _capacity_target as target
from bench import capacity_page

Change = typing.Callable[[pathlib.Path, pathlib.Path], None]
_CHANGES: dict[str, Change] = {}


def _change(text: str) -> typing.Callable[[Change], Change]:
    def register(change: Change) -> Change:
        _CHANGES[text] = change
        return change

    return register


def _first_row(page: pathlib.Path) -> tuple[str, str]:
    text = page.read_text(encoding="utf-8")
    found = capacity_page.TABLE_PATTERN.search(text)
    assert found is not None
    return text, found["body"].splitlines()[2]


@_change("a figure of a table is edited")
def _edit_figure(page: pathlib.Path, data: pathlib.Path) -> None:
    text, row = _first_row(page)
    digit_positions = [
        position
        for position, character in enumerate(row)
        if character.isdigit()
    ]
    other_digit = "8" if row[digit_positions[-1]] == "9" else "9"
    edited = (
        row[: digit_positions[-1]]
        + other_digit
        + row[digit_positions[-1] + 1 :]
    )
    page.write_text(text.replace(row, edited, 1), encoding="utf-8")


@_change("a row of a table is deleted")
def _delete_row(page: pathlib.Path, data: pathlib.Path) -> None:
    text, row = _first_row(page)
    page.write_text(text.replace(row + "\n", "", 1), encoding="utf-8")


@_change("a slope is measured again")
def _change_slope(page: pathlib.Path, data: pathlib.Path) -> None:
    path = data / "slopes.jsonl"
    rows = list(map(json.loads, path.read_text("utf-8").splitlines()))
    rows[0]["growth"] *= 2
    path.write_text("\n".join(map(json.dumps, rows)), encoding="utf-8")


@_change("the marker of a table is deleted")
def _delete_marker(page: pathlib.Path, data: pathlib.Path) -> None:
    text = page.read_text(encoding="utf-8")
    unmarked = text.replace("<!-- table: store -->", "", 1)
    page.write_text(unmarked, encoding="utf-8")


def _arguments(context: typing.Any) -> list[str]:
    return [f"--page={context.page}", f"--data={context.data}"]


@behave.given("the committed capacity page")
def use_committed_page(context):
    context.page, context.data = target.PAGE_PATH, target.DATA_DIR


@behave.given("in a copy of the capacity page {change}")
def change_copy(context, change):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.page = folder / "page.md"
    context.data = folder / "data"
    shutil.copy(target.PAGE_PATH, context.page)
    shutil.copytree(target.DATA_DIR, context.data)
    _CHANGES[change](context.page, context.data)


@behave.when("the capacity page is checked")
def check_page(context):
    context.code = capacity_page.run(["--check", *_arguments(context)])


@behave.when("the capacity page is generated")
def generate_page(context):
    assert capacity_page.run(_arguments(context)) == 0


@behave.then("the capacity check passes")
def passes(context):
    assert context.code == 0


@behave.then("the capacity check fails")
def fails(context):
    assert context.code == 1


@behave.then("the capacity check rejects the page")
def rejects(context):
    try:
        capacity_page.run(["--check", *_arguments(context)])
    except capacity_page.PageInvalid:
        return
    raise AssertionError("a page that lacks a table was accepted")
