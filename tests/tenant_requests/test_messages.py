"""Wire form of an ingress's messages: sent messages have valid shapes, received ones are decoded to the right class."""

import pytest

from silverglade.tenant_requests.admission import RequestHead
from silverglade.tenant_requests.messages import (
    Denial,
    ForwardedResult,
    ForwardRequest,
    Grant,
    GrantRequest,
    GrantRequestFacts,
    OwnerMoved,
    PiecesConsumed,
    RequestAbandoned,
    RequestCancelled,
    RunEnded,
    decode,
    send,
)
from silverglade.transport import framing
from silverglade.transport.message_schemas import is_valid_message

SENT = [
    (GrantRequest("id", 1, "t", 7, GrantRequestFacts("chat", "key", "p", 300, 0)), ("ask", "id", 1, "t", 7, ("chat", "key", "p", 300, 0))),
    (RunEnded("id", 2, "unrun"), ("fin", "id", 2, "unrun")),
    (RequestAbandoned("id"), ("quit", "id")),
    (ForwardRequest("id", "b", "chat", "key", False, 300, "p", 2, b"x"), ("hand", "id", "b", "chat", "key", False, 300, "p", 2, b"x")),
    (ForwardedResult("id", 3, "piece", (1, b"x")), ("res", "id", 3, "piece", 1, b"x")),
    (PiecesConsumed("id", 64), ("more", "id", 64)),
    (RequestCancelled("id"), ("left", "id")),
]

RECEIVED = [
    (("grant", "id", 1, "r", 2, "a:1", 7, True), Grant("id", 1, "r", 2, "a:1", 7, True, False)),
    (("grant", "id", 1, "r", 2, "a:1", 7, False, True), Grant("id", 1, "r", 2, "a:1", 7, False, True)),
    (("grant", "id", 1, "r", 2, "a:1", 7, False, 1, "later"), Grant("id", 1, "r", 2, "a:1", 7, False, False)),
    (("deny", "id", 1, 301, "?", None), Denial("id", 1, 301, "?", None)),
    (("moved", "id", 1), OwnerMoved("id", 1)),
    (("res", "id", 3, "fault", 301, "no", 1000), ForwardedResult("id", 3, "fault", (301, "no", 1000))),
]


@pytest.mark.parametrize("message,body", SENT)
def test_a_sent_message_is_encoded_as_its_tag_and_its_fields(message, body):
    effect = send("to", message)
    assert (effect.to, effect.body) == ("to", body)
    assert is_valid_message(body) and body[0] == message.TAG
    assert framing.encode_frame(sender="a", process_id="l", body=effect.body)


@pytest.mark.parametrize("body,message", RECEIVED)
def test_a_received_message_is_decoded_to_its_class(body, message):
    assert is_valid_message(body)
    assert decode(body) == message


@pytest.mark.parametrize(
    "message", [m for m, _ in SENT if isinstance(m, ForwardRequest | ForwardedResult | PiecesConsumed | RequestCancelled)]
)
def test_a_message_between_ingresses_is_decoded_to_itself(message):
    assert decode(message.to_body()) == message


@pytest.mark.parametrize("body", [("ask", "id", 1, "t", 7, ()), ("fin", "id", 1, "done"), ("quit", "id"), ("alive", 1, 2)])
def test_a_kind_that_an_ingress_does_not_receive_is_not_decoded(body):
    assert decode(body) is None


def test_a_forwarded_head_equals_the_head_that_the_client_sent():
    message = ForwardRequest("id", "b", "chat", "key", False, 300, "p", 2, b"x")
    assert message.head() == RequestHead("b", "chat", "key", "300", "p", "2")
    message.attempt = 0
    assert message.head().attempt == ""
