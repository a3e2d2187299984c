"""Splits a stream of server-sent events at event boundaries, leaving its bytes unchanged (design 15.3).

An event ends with an empty line; a line ends with CR, LF or CR LF.
"""

from __future__ import annotations

from ..runtime.outside_input import is_whole_number

MAX_EVENT_BYTES = 1024 * 1024

MAX_ID_DIGITS = 18
"""Of an event id that counts as a number."""

ENCODING, ENCODING_ERRORS = "utf-8", "surrogateescape"
"""How event ids are decoded: any bytes are encoded again unchanged."""

NOT_A_NUMBER = -1
"""The number of an id that is not numeric."""

CR = 13
LINE_ENDS = b"\r\n"
EMPTY_LINES = (b"\n\n", b"\n\r", b"\r\r")
"""Pairs of bytes that mark an empty line. An LF that follows a final CR belongs to the same line end."""


def end_of_last_event(data: bytes, start: int = 0) -> int:
    """Return the position after the last complete event in `data`; 0 if there is none.

    :param start: where to start searching; there must be no empty line before it.
    """
    end = 0
    for pair in EMPTY_LINES:
        position = data.rfind(pair, start)
        if position >= 0:
            after = position + len(pair)
            end = max(end, after + (pair[1] == CR and data[after : after + 1] == b"\n"))
    if not end and data[:1] in (b"\r", b"\n"):  # the rest of an empty line that arrived in two parts
        end = 2 if data[:2] == b"\r\n" else 1
    return end


class EventSplitter:
    """Buffers the bytes of a stream and returns them as complete events.

    :ivar rest: the beginning of an event that is not complete yet.
    :ivar max_bytes: the most bytes of an incomplete event.
    """

    __slots__ = ("rest", "max_bytes")

    def __init__(self, *, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self.rest = b""
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the events that are now complete.

        :raises ValueError: an incomplete event is longer than `max_bytes`.
        """
        start = max(0, len(self.rest) - 2)
        if self.rest:
            data = self.rest + data
        end = end_of_last_event(data, start)
        self.rest = data[end:]
        if len(self.rest) > self.max_bytes:
            raise ValueError("an event is too long")
        return data[:end] if self.rest else data


def last_event_id(events: bytes) -> str | None:
    """Return the value of the last id line in complete events; None if there is none."""
    start = max(events.rfind(b"\nid:"), events.rfind(b"\rid:"))
    if start >= 0:
        start += len(b"\nid:")
    elif events.startswith(b"id:"):
        start = len(b"id:")
    else:
        return None
    end = start
    while end < len(events) and events[end] not in LINE_ENDS:
        end += 1
    value = events[start:end]
    return (value[1:] if value[:1] == b" " else value).decode(ENCODING, ENCODING_ERRORS)


def event_number(event_id: str) -> int:
    """Return an event id as a number, or `NOT_A_NUMBER`."""
    return int(event_id) if is_whole_number(event_id, max_digits=MAX_ID_DIGITS) else NOT_A_NUMBER


def events_after(events: bytes, last_id: str) -> tuple[bytes, bool]:
    """Skip the events up to the one with the id `last_id`; return the events after it, and whether there are any.

    Called when a stream is resumed, for each group of complete events until one has been found, so that events which the client
    already has are not sent to it again. The first event returned is the first whose id is a number above that of `last_id`; events
    without a numeric id before it are skipped too. All events after it are returned, whatever their ids.

    :param last_id: id of the last event that the client has. If it is not numeric, every event with a numeric id counts as new.
    """
    last_number, position = event_number(last_id), 0
    while position < len(events):
        end = end_of_event(events, position)
        event_id = last_event_id(events[position:end])
        if event_id is not None and event_number(event_id) > last_number:
            return events[position:], True
        position = end
    return b"", False


def end_of_event(events: bytes, start: int) -> int:
    """Return the position after the event that begins at `start`."""
    line_is_empty, position = True, start
    while position < len(events):
        byte = events[position]
        position += 1
        if byte not in LINE_ENDS:
            line_is_empty = False
            continue
        if byte == CR and events[position : position + 1] == b"\n":
            position += 1
        if line_is_empty:
            return position
        line_is_empty = True
    return position
