"""Steps of the capacity page: its tables come from the committed figures."""

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
    found = capacity_page.MARKED.search(text)
    assert found is not None
    return text, found["body"].splitlines()[2]


@_change("a figure of a table is edited")
def _edited(page: pathlib.Path, data: pathlib.Path) -> None:
    text, row = _first_row(page)
    digits = [at for at, sign in enumerate(row) if sign.isdigit()]
    other = "8" if row[digits[-1]] == "9" else "9"
    drifted = row[: digits[-1]] + other + row[digits[-1] + 1 :]
    page.write_text(text.replace(row, drifted, 1), encoding="utf-8")


@_change("a row of a table is dropped")
def _dropped(page: pathlib.Path, data: pathlib.Path) -> None:
    text, row = _first_row(page)
    page.write_text(text.replace(row + "\n", "", 1), encoding="utf-8")


@_change("a slope is measured anew")
def _measured(page: pathlib.Path, data: pathlib.Path) -> None:
    path = data / "slopes.jsonl"
    rows = list(map(json.loads, path.read_text("utf-8").splitlines()))
    rows[0]["growth"] *= 2
    path.write_text("\n".join(map(json.dumps, rows)), encoding="utf-8")


@_change("a table is unmarked")
def _unmarked(page: pathlib.Path, data: pathlib.Path) -> None:
    text = page.read_text(encoding="utf-8")
    changed = text.replace("<!-- table: store -->", "", 1)
    page.write_text(changed, encoding="utf-8")


def _arguments(context: typing.Any) -> list[str]:
    return [f"--page={context.page}", f"--data={context.data}"]


@behave.given("the committed capacity page")
def committed(context):
    context.page, context.data = target.PAGE, target.FOLDER


@behave.given("in a copy of the capacity page {change}")
def changed(context, change):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.page = folder / "page.md"
    context.data = folder / "data"
    shutil.copy(target.PAGE, context.page)
    shutil.copytree(target.FOLDER, context.data)
    _CHANGES[change](context.page, context.data)


@behave.when("the capacity page is checked")
def checked(context):
    context.code = capacity_page.run(["--check", *_arguments(context)])


@behave.when("the capacity page is worked out")
def worked_out(context):
    assert capacity_page.run(_arguments(context)) == 0


@behave.then("the capacity check passes")
def passes(context):
    assert context.code == 0


@behave.then("the capacity check fails")
def fails(context):
    assert context.code == 1


@behave.then("the capacity check refuses the page")
def refuses(context):
    try:
        capacity_page.run(["--check", *_arguments(context)])
    except capacity_page.PageInvalid:
        return
    raise AssertionError("a page without a table was taken")
