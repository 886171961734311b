"""Runs a benchmark: ``python -m bench NAME [arguments]``; lists them else.

A benchmark is a module of this package with ``run(arguments) -> exit code``.
It prints one JSON object a line.
"""

import importlib
import pkgutil
import sys
import types

import bench


def _modules() -> dict[str, types.ModuleType]:
    names = [found.name for found in pkgutil.iter_modules(bench.__path__)]
    loaded = {
        name: importlib.import_module(f"bench.{name}")
        for name in names
        if not name.startswith("_")
    }
    return {name: m for name, m in loaded.items() if hasattr(m, "run")}


def _help(module: types.ModuleType) -> str:
    return (module.__doc__ or "").strip().partition("\n")[0]


def main(arguments: list[str]) -> int:
    """Run the benchmark named first, or list them all.

    :returns: the exit code of the process.
    """
    known = _modules()
    if arguments and arguments[0] in known:
        return int(known[arguments[0]].run(arguments[1:]) or 0)
    for name, module in sorted(known.items()):
        print(f"{name:16} {_help(module)}")
    return 2 if arguments else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
