"""The build of deploy/system.toml, with a stand-in for the interpreter: what broke off half-way is made again, what is done is not."""

import os
import pathlib
import re
import subprocess
import tomllib

import pytest

TOP = pathlib.Path(__file__).parent.parent.parent
DEPLOY = tomllib.loads((TOP / "deploy/system.toml").read_text())

# python3 of the scratch copy: counts installs and compilations; the file `trouble` says how an install breaks off
STANDIN = """#!/bin/sh
case "$*" in
    -V) cat version ;;
    *"pip install"*)
        while [ "$1" != --target ]; do shift; done
        mkdir -p "$2/first" && echo >> installs
        case "$(cat trouble 2> /dev/null)" in
            fails) exit 1 ;;
            killed) kill -9 $PPID; exit 1 ;;
        esac
        mkdir -p "$2/second" ;;
    *compileall*) echo >> compiled ;;
esac
"""


class Copy:
    """A checkout without anything built, whose only interpreter is the stand-in."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "bin").mkdir()
        (folder / "bin/python3").write_text(STANDIN)
        (folder / "bin/python3").chmod(0o755)
        (folder / "requirements.txt").write_text("one==1\n")
        (folder / "version").write_text("Python 3.11.2\n")

    def build(self):
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        return subprocess.run(["sh", "-c", DEPLOY["build"]], cwd=self.folder, env=dict(PATH=path), capture_output=True).returncode

    def count(self, name):
        at = self.folder / name
        return len(at.read_text().splitlines()) if at.exists() else 0

    def whole(self):
        return (self.folder / "target/deps/second").is_dir()


@pytest.fixture
def copy(tmp_path):
    return Copy(tmp_path)


@pytest.mark.parametrize("trouble", ["fails", "killed"])
def test_a_build_that_broke_off_does_not_pass_for_done_and_is_made_again(copy, trouble):
    (copy.folder / "trouble").write_text(trouble)
    assert copy.build() != 0 and copy.count("compiled") == 0
    assert copy.build() != 0 and copy.count("installs") == 2
    (copy.folder / "trouble").unlink()
    assert copy.build() == 0 and copy.count("installs") == 3
    assert copy.whole() and copy.count("compiled") == 1


def test_a_build_that_is_done_is_not_made_again_until_requirements_or_interpreter_change(copy):
    assert copy.build() == 0 and copy.build() == 0
    assert copy.count("installs") == 1
    os.utime(copy.folder / "requirements.txt")  # a newer time alone is no change
    assert copy.build() == 0 and copy.count("installs") == 1
    (copy.folder / "requirements.txt").write_text("one==2\n")
    os.utime(copy.folder / "requirements.txt", (1, 1))
    assert copy.build() == 0 and copy.count("installs") == 2 and copy.whole()
    (copy.folder / "version").write_text("Python 3.12.1\n")
    assert copy.build() == 0 and copy.count("installs") == 3 and copy.whole()


def test_what_is_built_lies_under_target(copy):
    before = set(os.listdir(copy.folder))
    assert copy.build() == 0
    assert set(os.listdir(copy.folder)) - before == {"target", "installs", "compiled"}
    assert os.listdir(copy.folder / "target") == ["deps"]


def test_the_deploy_file_names_system_packages_and_programs_that_need_no_shell():
    packages = DEPLOY["packages"]
    assert len(set(packages)) == len(packages) > 0 and all(re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", p) for p in packages)
    assert {"python3", "python3-pip"} <= set(packages)
    for role in DEPLOY["roles"].values():
        program, script = role["run"].split(" ")
        assert program == "python3" and (TOP / script).is_file()
