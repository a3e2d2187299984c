"""The list of known failures is read strictly; what it lists is passed over only while it fails."""

import pathlib
import subprocess
import sys

import pytest

from tests.conftest import listed

HERE = pathlib.Path(__file__).parent.parent


def test_the_list_is_read_strictly():
    assert listed("# a word\n\ntests/a.py::b | cause | 3\n") == {"tests/a.py::b": "cause (issue 3)"}
    for bad in ("tests/a.py::b", "a | b", "a | | 3", "a | b | 3\na | c | 4"):
        with pytest.raises(ValueError):
            listed(bad)


@pytest.mark.parametrize(
    "red, body, code",
    [
        ("tests/test_x.py::test_x | cause | 3", "assert False", 0),  # fails as listed
        ("tests/test_x.py::test_x | cause | 3", "pass", 1),  # passes while listed
        ("", "assert False", 1),  # fails unlisted
        ("tests/test_x.py::test_y | cause | 3", "pass", 4),  # lists what is not there
        ("", "pass", 0),
    ],
)
@pytest.mark.parametrize("workers", [(), ("-n", "4", "--dist", "loadfile")], ids=["alone", "workers"])  # as .ci/run calls it
def test_only_what_is_listed_and_fails_is_passed_over(tmp_path, red, body, code, workers):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (tmp_path / "tests" / "test_x.py").write_text(f"def test_x():\n    {body}\n")
    (tmp_path / "KNOWN-RED.txt").write_text(red)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    r = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *workers], cwd=tmp_path, capture_output=True, text=True
    )
    assert r.returncode == code, r.stdout
    assert ("names no test: tests/test_x.py::test_y" in r.stdout + r.stderr) == (code == 4)
    assert ("known red" in r.stdout) == bool(red)
