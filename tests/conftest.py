"""Tests that fail for a known fault of the program are listed in KNOWN-RED.txt, one line each: test | cause | issue.

A listed test that fails is printed and passed over; one that passes, or is not there, fails the run.
"""

import pathlib

import pytest

LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed(text):
    """-> {test id: cause and issue}; raises for a line that is not one."""
    out = {}
    for i, ln in enumerate(text.splitlines(), 1):
        if not ln.strip() or ln.startswith("#"):
            continue
        name, *rest = (x.strip() for x in ln.split("|"))
        if len(rest) != 2 or not all((name, *rest)):
            raise ValueError(f"KNOWN-RED.txt line {i} wants: test | cause | issue")
        if name in out:
            raise ValueError(f"KNOWN-RED.txt line {i}: listed twice")
        out[name] = f"{rest[0]} (issue {rest[1]})"
    return out


def pytest_collection_modifyitems(config, items):
    red = listed(LIST.read_text(encoding="utf-8")) if LIST.exists() else {}
    for it in items:
        if it.nodeid in red:
            it.add_marker(pytest.mark.xfail(reason=red[it.nodeid], strict=True))
    config.red = red
    whole = not config.args or config.args == config.getini("testpaths")
    gone = set(red) - {it.nodeid for it in items}
    if whole and gone:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(sorted(gone))}")


def pytest_terminal_summary(terminalreporter, config):
    for k, v in getattr(config, "red", {}).items():
        terminalreporter.write_line(f"known red: {k}: {v}")
