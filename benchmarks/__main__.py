"""Run every benchmark module of this package that has a ``main``."""

import importlib
import pkgutil
import sys

import benchmarks


def run_all() -> bool:
    """Run the benchmarks and return whether all are within their bounds."""
    passed = True
    for module in sorted(pkgutil.iter_modules(benchmarks.__path__), key=_name):
        if module.name.startswith("_"):
            continue
        main = getattr(
            importlib.import_module(f"benchmarks.{module.name}"), "main", None
        )
        if main is not None:
            passed = main() and passed
    return passed


def _name(module: pkgutil.ModuleInfo) -> str:
    return module.name


if __name__ == "__main__":
    sys.exit(0 if run_all() else 1)
