"""Runs a benchmark: ``python -m bench NAME [arguments]``.

Without a known name the benchmarks are listed. A benchmark is a module of
this package with a function ``run(arguments)`` that returns the exit code.
Each benchmark prints one JSON object per line.
"""

import importlib
import pkgutil
import sys
import types

import bench


def _load_benchmarks() -> dict[str, types.ModuleType]:
    names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    modules = {
        name: importlib.import_module(f"bench.{name}")
        for name in names
        if not name.startswith("_")
    }
    return {name: m for name, m in modules.items() if hasattr(m, "run")}


def _summary_line(module: types.ModuleType) -> str:
    return (module.__doc__ or "").strip().partition("\n")[0]


def main(arguments: list[str]) -> int:
    """Run the benchmark that the first argument names, or list all.

    :returns: the exit code of the process.
    """
    benchmarks = _load_benchmarks()
    if arguments and arguments[0] in benchmarks:
        return int(benchmarks[arguments[0]].run(arguments[1:]) or 0)
    for name, module in sorted(benchmarks.items()):
        print(f"{name:16} {_summary_line(module)}")
    return 2 if arguments else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
