"""Requests that are refused by their header get the response of complete ones."""

from typing import Any

import orjson
import pytest
from twisted.web.test.requesthelper import DummyRequest

from tamarackmount.internal.refusals import Refusal
from tamarackmount.node.request_policy import CallerPolicy
from tamarackmount.platform.config import (
    DEFAULT_MAX_BODY_BYTES,
    decode_fleet_config,
)
from tests.utils.build_platform_documents import config_document


class Jobs:
    """Has a configuration, or none."""

    def __init__(self, **changes: Any) -> None:
        """Use the default configuration with ``changes``."""
        text = orjson.dumps(config_document(**changes))
        self.fleet: Any = decode_fleet_config(text).unwrap()


def refusal(jobs: Jobs, path: str, key: str) -> Refusal | None:
    request: Any = DummyRequest([])
    request.requestHeaders.addRawHeader(b"host", b"host.example")
    request.requestHeaders.addRawHeader(b"authorization", f"Bearer {key}".encode())
    policy: Any = CallerPolicy(jobs)  # type: ignore[arg-type]
    result: Refusal | None = policy.refusal(request, path)
    return result


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/stock/5c0e7a21d94b36f8", "k1", None),
        ("/stock/5c0e7a21d94b36f8", "k3", 401),
        ("/elsewhere/5c0e7a21d94b36f8", "k1", 404),
    ],
)
def test_a_request_for_an_unknown_queue_or_key_was_read(
    path: str, key: str, status: int | None
) -> None:
    refused = refusal(Jobs(), path, key)
    assert (refused.status if refused else None) == status


def test_a_node_without_a_configuration_read_requests() -> None:
    jobs = Jobs()
    jobs.fleet = None
    refused = refusal(jobs, "/stock/5c0e7a21d94b36f8", "k1")
    assert refused is not None
    assert (refused.status, refused.retry_after_s) == (503, 1)
    policy: Any = CallerPolicy(jobs)  # type: ignore[arg-type]
    assert policy.max_body_bytes == DEFAULT_MAX_BODY_BYTES


def test_the_limit_of_the_configuration_was_not_used() -> None:
    jobs: Any = Jobs(limits={"maxBodyBytes": 1_000})
    assert CallerPolicy(jobs).max_body_bytes == 1_000
