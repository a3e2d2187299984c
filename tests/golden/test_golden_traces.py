"""All that leaves the daemons in some seeded plays of each simulator is, byte for byte, what it was when it was recorded.

`python -m tests.golden.test_golden_traces` writes the expected hashes anew: only for a change that is meant to change behaviour.
"""

import json
import pathlib

import pytest

from .recorded_plays import plays

EXPECTED = pathlib.Path(__file__).parent / "golden_traces.json"
PLAYS = plays()


def expected():
    return json.loads(EXPECTED.read_text(encoding="utf-8"))


@pytest.mark.parametrize("name", PLAYS)
def test_what_leaves_the_daemons_is_what_was_recorded(name, monkeypatch):
    play, settings = PLAYS[name]
    assert play(monkeypatch, **settings) == expected()[name]


def test_every_recorded_play_is_played():
    assert expected().keys() == PLAYS.keys()


def record():
    results = {}
    for name, (play, settings) in PLAYS.items():
        with pytest.MonkeyPatch.context() as monkeypatch:
            results[name] = play(monkeypatch, **settings)
    EXPECTED.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    record()
