"""Client connections that this daemon closes without a complete response: counted by reason, and logged one by one."""

from __future__ import annotations

import logging
import time
from collections import Counter
from datetime import timedelta
from enum import StrEnum

from ..runtime.effects import to_milliseconds
from ..runtime.structured_logging import format_line
from .client_request import ClientRequest

MAX_LOGGED_ID_LENGTH = 64


class CutReason(StrEnum):
    """Why a client's connection is closed without a complete response."""

    ABORTED = "aborted"
    """The router gave up a response that had begun; its log record `response-aborted` gives the details."""
    RESPONSE_STARTED = "response-started"
    """The router answered a request of which a part of a response had been sent."""
    NOT_RESUMED = "not-resumed"
    """A further attempt was to start a response anew of which a part had been sent."""
    DEADLINE_EXPIRED = "deadline"
    """The deadline passed while a response was under way."""
    SHUTDOWN = "shutdown"
    """The daemon ends."""
    FAULT = "fault"
    """A program error ended the request."""


class CutResponses:
    """Closes client connections whose response cannot be completed.

    :ivar counts: reason -> number of responses cut.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self.counts: Counter[str] = Counter()
        self._logger = logger

    def cut(self, request: ClientRequest, reason: CutReason) -> None:
        """Close the client's connection so that the response is seen to be incomplete; count and log it.

        Logged are the client's id of its attempt, whether a part of the response was sent (`begun`), whether a replica may have got the
        request (`sent`), its position on its connection (`nth`), and its age.
        """
        self.counts[reason] += 1
        age = timedelta(seconds=time.monotonic()) - request.received_at
        fields = [
            ("rid", request.request_id),
            ("attempt", request.attempt_id.decode("latin-1")[:MAX_LOGGED_ID_LENGTH]),
            ("why", reason.value),
            ("begun", request.is_response_started),
            ("sent", request.was_sent),
            ("nth", request.connection.request_count),
            ("after_ms", to_milliseconds(age)),
        ]
        self._logger.info(format_line("response-cut", fields))
        request.cut()
