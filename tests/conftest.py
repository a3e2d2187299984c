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


def pytest_configure(config):
    config.red = listed(LIST.read_text(encoding="utf-8")) if LIST.exists() else {}
    config.gone = set()


def not_collected(config, ids):
    """Tests that the list names and a run of the whole suite has not."""
    whole = not config.args or config.args == config.getini("testpaths")
    return set(config.red) - set(ids) if whole else set()


def complaint(names):
    return f"KNOWN-RED.txt names no test: {', '.join(sorted(names))}"


def pytest_collection_modifyitems(config, items):
    for it in items:
        if it.nodeid in config.red:
            it.add_marker(pytest.mark.xfail(reason=config.red[it.nodeid], strict=True))
    if not hasattr(config, "workerinput") and (gone := not_collected(config, [it.nodeid for it in items])):
        raise pytest.UsageError(complaint(gone))


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids):
    """With workers it is they who collect; what they miss is told at the end, by the one that started them."""
    node.config.gone |= not_collected(node.config, ids)


def pytest_sessionfinish(session):
    if session.config.gone:
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(terminalreporter, config):
    for k, v in config.red.items():
        terminalreporter.write_line(f"known red: {k}: {v}")
    if config.gone:
        terminalreporter.write_line(f"ERROR: {complaint(config.gone)}")
