"""The list of all tests, and how many checks each test file makes; compared with the list that was recorded (inventory.txt).

`python -m tests.golden.inventory` prints what is new and what is gone since; `--write` records the present tree.
A test is told by its function's name and its parameters, so that it may move to another file.
"""

import argparse
import ast
import collections
import pathlib
import re
import subprocess
import sys

TOP = pathlib.Path(__file__).parent.parent.parent
TESTS = TOP / "tests"
RECORDED = pathlib.Path(__file__).parent / "inventory.txt"
CHECK_NAMES = re.compile(r"^(assert_|check|expect|verify|raises|never|sound|bad$|rule$)")
COUNTS = ("assert", "raises", "check calls")
OWN_FOLDER = "tests/golden/"


def collected():
    """The ids of all tests but those of this folder, sorted."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "--collect-only",
        "-q",
        "-p",
        "no:cacheprovider",
        "-p",
        "no:syrupy",
        "-o",
        "addopts=",
        "tests",
    ]
    done = subprocess.run(command, cwd=TOP, capture_output=True, text=True, check=True)
    return sorted(line for line in done.stdout.splitlines() if "::" in line and not line.startswith(("known red", OWN_FOLDER)))


def called_name(call):
    return getattr(call.func, "attr", getattr(call.func, "id", ""))


def check_counts(path):
    """How often a file asserts, expects an error (`pytest.raises`), and calls a helper with the name of a check."""
    nodes = list(ast.walk(ast.parse(path.read_text(encoding="utf-8"))))
    names = [called_name(node) for node in nodes if isinstance(node, ast.Call)]
    return (
        sum(isinstance(node, ast.Assert) for node in nodes),
        names.count("raises"),
        sum(bool(CHECK_NAMES.match(name)) and name != "raises" for name in names),
    )


def file_counts():
    """Each test file outside this folder -> its counts."""
    paths = sorted(path for path in TESTS.rglob("*.py") if not path.relative_to(TOP).as_posix().startswith(OWN_FOLDER))
    return {path.relative_to(TOP).as_posix(): check_counts(path) for path in paths}


def text_of(ids, counts):
    rows = [f"# {len(ids)} tests", *ids, "# " + " | ".join(("file", *COUNTS))]
    rows += [" | ".join((path, *map(str, row))) for path, row in counts.items()]
    return "\n".join(rows) + "\n"


def parsed(text):
    """What `text_of` wrote -> ids, counts of each file."""
    ids, counts = [], {}
    for line in text.splitlines():
        if line.startswith("#"):
            continue
        if "::" in line:
            ids.append(line)
        else:
            path, *row = line.split(" | ")
            counts[path] = tuple(map(int, row))
    return ids, counts


def without_path(test_id):
    return test_id.split("::", 1)[1]


def totals(counts):
    return [sum(column) for column in zip(*counts.values())]


def report(old, new):
    """Prints what differs -> is nothing gone?"""
    (old_ids, old_counts), (new_ids, new_counts) = old, new
    before, now = (collections.Counter(map(without_path, ids)) for ids in (old_ids, new_ids))
    gone, added = sorted((before - now).elements()), sorted((now - before).elements())
    for title, names in (("gone", gone), ("new", added)):
        print(f"{title}: {len(names)}")
        for name in names:
            print("  ", name)
    print(f"tests: {len(old_ids)} -> {len(new_ids)}")
    for title, was, is_now in zip(COUNTS, totals(old_counts), totals(new_counts)):
        print(f"{title}: {was} -> {is_now}")
    return not gone


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="record the present tree")
    new = collected(), file_counts()
    if parser.parse_args().write:
        RECORDED.write_text(text_of(*new), encoding="utf-8")
        return 0
    return 0 if report(parsed(RECORDED.read_text(encoding="utf-8")), new) else 1


if __name__ == "__main__":
    sys.exit(main())
