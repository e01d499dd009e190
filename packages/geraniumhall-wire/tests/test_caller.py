"""Tests of the OpenAI-style front."""

import unittest
from json import dumps, loads

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import ModelTarget, PathTarget
from geraniumhall_wire.openai_front import (
    KEY_HEADERS,
    MAX_MODEL_CHARACTERS,
    ParsedCall,
    RequestHead,
    parse_call,
)

KEY = "gh_k1_" + "s" * 43
CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hello"}]


def parse(
    data: object = None,
    path: str = CHAT,
    headers: tuple = (),
    method: bytes = b"POST",
    body: bytes | None = None,
) -> ParsedCall | Refusal:
    """Parse a request with this JSON body."""
    if body is None:
        body = dumps(data).encode()
    return parse_call(
        "r1", RequestHead(method=method, target=path.encode(), headers=headers), body
    )


def parse_refused(*args: object, **kwargs: object) -> Refusal:
    """Parse an invalid request and return its refusal."""
    refusal = parse(*args, **kwargs)
    assert isinstance(refusal, Refusal), refusal
    return refusal


def parse_accepted(*args: object, **kwargs: object) -> ParsedCall:
    """Parse a valid request."""
    call = parse(*args, **kwargs)
    assert isinstance(call, ParsedCall), call
    return call


class CompletionTest(unittest.TestCase):
    """Completions are parsed into typed requests."""

    def test_chat_names_its_model(self) -> None:
        """The target of a chat completion is its model."""
        call = parse_accepted({"model": "draft", "messages": MESSAGES})
        self.assertEqual(call.request.target, ModelTarget("draft"))

    def test_text_completion(self) -> None:
        """A text completion has a prompt instead of messages."""
        call = parse_accepted({"model": "draft", "prompt": "x" * 40}, "/v1/completions")
        self.assertEqual(call.request.prompt_tokens, 10)

    def test_streams_request_usage(self) -> None:
        """Usage reporting is enabled in a streamed request."""
        call = parse_accepted({"model": "draft", "messages": MESSAGES, "stream": True})
        options = loads(call.upstream.body)["stream_options"]
        self.assertEqual(options, {"include_usage": True})

    def test_unstreamed_requests_keep_their_body(self) -> None:
        """A request that is not streamed is forwarded byte for byte."""
        body = b'{"model": "draft",  "messages": [{"role":"user"}]}'
        self.assertEqual(parse_accepted(body=body).upstream.body, body)

    def test_violations_name_their_field(self) -> None:
        """An invalid body is refused with the path of the invalid field."""
        cases = {
            "$.model": {"messages": MESSAGES},
            "$.messages": {"model": "draft"},
            "$.messages[0]": {"model": "draft", "messages": ["x"]},
            "$.stream": {"model": "draft", "messages": MESSAGES, "stream": 1},
            "$.max_tokens": {"model": "draft", "messages": MESSAGES, "max_tokens": -1},
            "$.stream_options": {
                "model": "draft",
                "messages": MESSAGES,
                "stream_options": 1,
            },
        }
        huge = {"model": "draft", "messages": MESSAGES, "max_tokens": 10**30}
        long = {"model": "m" * (MAX_MODEL_CHARACTERS + 1), "messages": MESSAGES}
        others = [("$.max_tokens", huge), ("$.model", long)]
        for path, data in [*cases.items(), *others]:
            with self.subTest(path=path):
                self.assertTrue(parse_refused(data).reason.startswith(path + ":"))

    def test_not_json(self) -> None:
        """A body that is not JSON is malformed."""
        self.assertEqual(parse_refused(body=b"{").code, "malformed")

    def test_body_of_very_many_parts_is_refused(self) -> None:
        """It would take many times its size; a long prompt of tokens is parsed."""
        data = {"model": "draft", "messages": [{}] * 400_000}
        self.assertEqual(parse_refused(data).code, "body_too_large")
        prompt = list(range(10_000, 60_000)) * 25
        parse_accepted({"model": "draft", "prompt": prompt}, path="/v1/completions")

    def test_wrong_method(self) -> None:
        """Only the method POST is allowed for completions."""
        self.assertEqual(parse_refused({}, method=b"GET").code, "method_not_allowed")

    def test_bad_deadline(self) -> None:
        """A timeout must be a number of milliseconds."""
        headers = ((b"x-request-timeout-ms", b"soon"),)
        data = {"model": "draft", "messages": MESSAGES}
        self.assertEqual(parse_refused(data, headers=headers).code, "malformed")

    @seed(20261204)
    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200), st.sampled_from([CHAT, "/v1/completions", "/x"]))
    def test_any_bytes_are_parsed_or_refused(self, body: bytes, path: str) -> None:
        """No body raises an exception."""
        self.assertIsInstance(parse(body=body, path=path), ParsedCall | Refusal)

    @seed(20261204)
    @settings(max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(
                ["model", "messages", "stream", "max_tokens", "stream_options"]
            ),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(max_size=5),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(st.text(max_size=4), inner, max_size=3)
                ),
                max_leaves=6,
            ),
        )
    )
    def test_any_json_is_parsed_or_refused(self, data: dict) -> None:
        """No JSON value raises an exception."""
        self.assertIsInstance(parse(data), ParsedCall | Refusal)


class KeyTest(unittest.TestCase):
    """No backend server receives a caller's key."""

    def test_key_headers_are_removed(self) -> None:
        """No header that may carry a key is forwarded."""
        for name in KEY_HEADERS:
            headers = ((name, b"Bearer " + KEY.encode()), (b"x-other", b"1"))
            call = parse_accepted({"model": "m", "messages": MESSAGES}, headers=headers)
            with self.subTest(name=name):
                self.assertNotIn(name, dict(call.upstream.headers))

    def test_key_elsewhere_is_refused(self) -> None:
        """A key in the query, the body or another header is refused."""
        key = KEY.encode()
        cases = (
            {"path": f"/filings?key={KEY}", "body": b""},
            {"path": "/filings", "body": b"x" + key},
            {"path": "/filings", "body": b"", "headers": ((b"cookie", key),)},
        )
        for case in cases:
            with self.subTest(case=case):
                self.assertEqual(parse_refused(**case).code, "malformed")

    def test_short_key_repeated_in_body_is_refused(self) -> None:
        """A repeated key is found even if it is shorter than issued keys."""
        headers = ((b"authorization", b"Bearer gh_k_short"),)
        case = {"path": "/filings", "body": b"gh_k_short", "headers": headers}
        self.assertEqual(parse_refused(**case).code, "malformed")

    def test_proof_does_not_hold_the_secret(self) -> None:
        """The typed request does not contain the key's secret."""
        headers = ((b"authorization", b"Bearer " + KEY.encode()),)
        call = parse_accepted(path="/filings", body=b"", headers=headers)
        self.assertNotIn("s" * 43, repr(call.request))

    def test_malformed_key_is_unknown_not_missing(self) -> None:
        """A key header without a valid key counts as an unknown key."""
        headers = ((b"authorization", b"Basic abc"),)
        call = parse_accepted(path="/filings", body=b"", headers=headers)
        self.assertIsNotNone(call.request.credential)


class ServiceCallTest(unittest.TestCase):
    """Other paths are parsed as calls of plain services."""

    def test_path_without_query(self) -> None:
        """The target excludes the query, which is still forwarded."""
        call = parse_accepted(path="/filings/7?draft=1", body=b"x")
        self.assertEqual(call.request.target, PathTarget("/filings/7"))
        self.assertEqual(call.upstream.target, b"/filings/7?draft=1")

    def test_hop_by_hop_headers_are_removed(self) -> None:
        """Hop-by-hop headers are not forwarded."""
        headers = ((b"connection", b"x-hop"), (b"x-hop", b"1"), (b"x-end", b"2"))
        call = parse_accepted(path="/filings", body=b"", headers=headers)
        self.assertEqual(call.upstream.headers, ((b"x-end", b"2"),))
