"""What a client gets for each numbered fault is what was recorded: code, status, sentence, and the answer's bytes.

`python -m tests.golden.test_golden_answers` writes it anew: only for a change that is meant to change what clients get.
"""

import json
import pathlib

import anyio
import pytest

from silverglade.http import asgi
from silverglade.runtime import errors as faults

EXPECTED = pathlib.Path(__file__).parent / "golden_answers.json"
DETAIL, WAIT_MS = "where it happened", 1000


async def exchange(code, settings):
    """The messages with which the front refuses a request."""
    sent = []

    async def send(message):
        sent.append(message)

    await asgi.send_error(send, code, **settings)
    return sent


def refusal(code, **settings):
    """A refusal as a client reads it -> status, headers and body."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(asgi.random, "uniform", lambda low, high: 1.2)
        head, body = anyio.run(exchange, code, settings)
    return {
        "status": head["status"],
        "headers": [[name.decode(), value.decode()] for name, value in head["headers"]],
        "body": body["body"].decode(),
    }


def answers():
    """Number of each fault -> what is known of it, and what clients get."""
    table = {}
    for code, (name, status, sentence) in faults.RESULT_CODES.items():
        table[str(code)] = {
            "name": name,
            "status": status,
            "status sent": faults.http_status(code),
            "sentence": sentence,
            "error text": str(faults.RemoteError(code)),
            "error text with a detail": str(faults.RemoteError(code, DETAIL)),
            "plain refusal": refusal(code),
            "refusal with a wait and a detail": refusal(code, ran="maybe", wait_ms=WAIT_MS, detail=DETAIL),
        }
    return table


def expected():
    return json.loads(EXPECTED.read_text(encoding="utf-8"))


def test_no_fault_is_new_or_gone():
    assert list(answers()) == list(expected())


@pytest.mark.parametrize("code", expected() if EXPECTED.exists() else ())
def test_a_client_gets_what_was_recorded(code):
    assert answers()[code] == expected()[code]


if __name__ == "__main__":
    EXPECTED.write_text(json.dumps(answers(), indent=1) + "\n", encoding="utf-8")
