"""House style that a program can check."""

import ast
import pathlib
import subprocess
import sys

TOP = pathlib.Path(__file__).parent.parent.parent
FOLDERS = ("silverglade", "tests", "platform")
FILES = [p for d in FOLDERS for p in (TOP / d).rglob("*.py")]


def ruff(*arguments):
    """-> ruff's exit code and what it printed, over all code of the project."""
    done = subprocess.run([sys.executable, "-m", "ruff", *arguments, "--no-cache", "-q", *FOLDERS], cwd=TOP, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


def test_the_linter_finds_nothing():
    assert ruff("check") == (0, "")


def test_the_formatter_would_change_nothing():
    assert ruff("format", "--check") == (0, "")


def test_the_type_checker_finds_nothing_in_control():
    done = subprocess.run(
        [sys.executable, "-m", "mypy", "--cache-dir=/dev/null", "--no-error-summary"], cwd=TOP, capture_output=True, text=True
    )
    assert (done.returncode, done.stdout + done.stderr) == (0, "")


LONGEST_FUNCTION = 60
"""Lines, docstring and decorators counted."""


def long_functions(source):
    """Names of the functions that are too long."""
    nodes = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)]
    return [node.name for node in nodes if node.end_lineno - node.lineno + 1 > LONGEST_FUNCTION]


def test_no_function_is_too_long_but_those_that_are_still_to_be_split():
    found = {f"{path.relative_to(TOP)}::{name}" for path in FILES for name in long_functions(path.read_text())}
    assert found == set((TOP / "tests/system/long_functions.txt").read_text().split())


def test_comments_cite_sections_that_the_design_has():
    import re

    design = (TOP / "docs/design.md").read_text()
    heads = set(re.findall(r"^## (\d+)", design, re.M)) | set(re.findall(r"(?:^|\s)(\d+\.\d+)(?= )", design))
    cited = {n for p in FILES if "tests" not in p.parts for n in re.findall(r"design (\d+(?:\.\d+)?)", p.read_text())}
    assert cited - heads == set()
