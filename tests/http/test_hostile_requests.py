"""Any input from clients or operators over HTTP gets a result code and no status 500, and no state machine raises an exception."""

import json

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from silverglade.configuration.schema import parse_configuration
from silverglade.http import event_stream, request_facts
from silverglade.runtime.errors import InvalidInputError, SilvergladeError
from silverglade.runtime.outside_input import (
    MAX_DEPTH,
    is_address,
    is_header_value,
    is_whole_number,
    parse_json,
)
from silverglade.runtime.result_codes import RESULT_CODES
from silverglade.server import client_request
from silverglade.server.replica_calls import EventParser
from silverglade.tenant_requests.admission import RequestHead, admit, ran_if_not_admitted
from silverglade.testbed.simulator.scenario import Scene
from silverglade.transport.framing import encode_frame

from .test_http_app import http

MANY_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True, database=None, suppress_health_check=list(HealthCheck))
LATIN_TEXTS = st.text(st.characters(max_codepoint=255), max_size=12)
NUMERALS = st.sampled_from(["", "0", "5", "-5", "--5", "²", "١", "1_0", " 5", "5 ", "+5", "1e9", "0x5", "9" * 30, "9" * 5000, "1.5", "nan"])
HEADER_VALUES = st.one_of(LATIN_TEXTS, NUMERALS, st.sampled_from(["\u00e9", "a\tb", "a\r\nb", "x" * 300, '"1.2"', '"9.²"']))
JSON_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=4)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)
BODIES = st.one_of(
    st.binary(max_size=40),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    st.sampled_from([b'"\\ud800"', b"1e999", b"NaN", b"9" * 40, b"[" * 5000, b"[" * 200 + b"]" * 200, b'{"\\udfff": 1}', b"\xff", b""]),
)


@MANY_EXAMPLES
@given(BODIES)
@example(b'"\\ud83d\\ude00"')
def test_a_document_is_refused_or_can_be_sent_between_daemons(body):
    try:
        value = parse_json(body)
    except InvalidInputError:
        return
    encode_frame(sender="d", process_id="p", body=("op", value))


def test_values_that_are_refused_in_a_document():
    too_deep = "[" * (MAX_DEPTH + 1) + "]" * (MAX_DEPTH + 1)
    for text in ('"\\ud800"', '{"\\udc00": 1}', "1e999", "-1e999", "NaN", "Infinity", "9223372036854775808", too_deep):
        with pytest.raises(InvalidInputError):
            parse_json(text)
    assert parse_json('["\\ud83d\\ude00", 9223372036854775807, -9223372036854775808, 1.5e300]')[0] == "\U0001f600"
    assert parse_json("[" * MAX_DEPTH + "]" * MAX_DEPTH) is not None


@MANY_EXAMPLES
@given(st.one_of(st.text(max_size=30), NUMERALS))
@example("²")
@example("1.2.3.4:80\n")
def test_parsers_raise_nothing_for_any_text(text):
    for digits in (text, text.encode("utf-8", "replace")):
        assert not is_whole_number(digits, max_digits=9) or int(digits) >= 0
    assert not is_address(text) or text.rpartition(":")[2].isascii()
    assert not is_header_value(text, max_length=200) or text.encode("ascii").strip() == text.encode()
    data = text.encode("utf-8", "replace")
    request_facts.parse_integer(data)
    request_facts.parse_prompt_parts(data)
    request_facts.parse_token_counts(data)
    request_facts.host_name(data)
    client_request.parse_seconds(data)
    event_stream.events_after(b"id: " + data + b"\n\nid: 7\n\n", text)
    EventParser().feed(b"id: " + data + b"\ndata: x\n\n")


def valid_configuration():
    scene = Scene(town="hamlet")
    configuration, errors = parse_configuration(scene.t["config"])
    assert not errors
    return configuration


CONFIGURATION = valid_configuration()
KEYS = st.sampled_from(["key-pair", "key-solo", "", "\u00e9"])


@MANY_EXAMPLES
@given(KEYS, st.sampled_from(["chat", "lookup", "\u00e9", ""]), HEADER_VALUES, HEADER_VALUES, HEADER_VALUES, HEADER_VALUES)
@example("key-pair", "chat", "k", "--5", "", "1")
@example("key-pair", "chat", "k", "", "", "²")
@example("key-pair", "chat", "k", "", "²", "1")
@example("key-pair", "chat", "k", "", "", "9" * 5000)
def test_the_head_of_a_tenants_request_is_admitted_or_refused_with_its_code(bearer, name, key, deadline, prefix, attempt):
    head = RequestHead(bearer, name, key, deadline, prefix, attempt)
    try:
        facts = admit(CONFIGURATION, head, body_size=2, generated_key="k")
    except SilvergladeError as error:
        assert error.code in RESULT_CODES and ran_if_not_admitted(error, head) in ("no", "maybe")
        return
    assert (facts.key + facts.prefix).isascii() and facts.time_left.total_seconds() > 0 and 0 <= facts.client_attempt <= 999


class FleetDaemon:
    """A daemon for the HTTP API whose calls go to a daemon of a simulated fleet."""

    def __init__(self, scene, name):
        self.scene, self.name, self.calls = scene, name, 0
        self.settings = {"operator_key": "", "replica_key": "", "platform_key": "", "name": name}

    async def call(self, operation, arguments):
        answers = []
        self.scene.w.call(self.name, operation, arguments, lambda code, fields: answers.append((code, fields)))
        self.scene.w.run(0.05)
        return answers[0] if answers else (503, {})


@pytest.fixture(scope="module")
def scene():
    scene = Scene(town="hamlet")
    scene.settle()
    return scene


SEGMENTS = st.one_of(
    LATIN_TEXTS.map(lambda text: text.replace("/", "")), st.sampled_from(["north", "pair", "model-north-0", "\U0001f600", "x" * 300])
)
PATHS = st.one_of(
    st.sampled_from(["/v1/config", "/v1/status", "/v1/fleet", "/v1/replicas", "/v1/platform/replicas", "/healthz"]),
    st.builds("/v1/replicas/{}".format, SEGMENTS),
    st.builds("/v1/zones/{}/evacuation".format, SEGMENTS),
    st.builds("/v1/shards/{}/reopen".format, SEGMENTS),
    st.builds("/v1/regions/{}/orders".format, SEGMENTS),
    st.builds("/v1/trace/{}".format, SEGMENTS),
)
HEADER_NAMES = st.sampled_from(["if-match", "silverglade-wait", "silverglade-change", "authorization", "content-length", "x"])


@pytest.mark.parametrize("daemon", ["core-north", "edge-north-0"])
def test_api_calls_get_a_result_code_and_no_500(scene, daemon):
    @MANY_EXAMPLES
    @given(st.sampled_from(["GET", "PUT", "DELETE", "POST"]), PATHS, st.dictionaries(HEADER_NAMES, HEADER_VALUES, max_size=3), BODIES)
    def call(method, path, headers, body):
        status, _, answer, _ = http(FleetDaemon(scene, daemon), method, path, body, list(headers.items()))
        assert status != 500
        assert status == 200 or json.loads(answer)["code"] in RESULT_CODES

    call()
    assert scene.w.nodes[daemon].hub is not None
