"""Parsing of server-sent events, which are forwarded unchanged."""

from attrs import define, frozen

MAX_EVENT_BYTES = 262_144  # an event holds a few tokens
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


@frozen
class StreamEvent:
    """One complete event: its bytes as received, its id and its data.

    `data` is None for a comment, which keeps a connection open but is no progress.
    """

    raw: bytes
    ident: str
    data: bytes | None


@define
class EventSplitter:
    """Splits a stream into complete events and buffers an incomplete last one."""

    incomplete: bytes = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; raise ValueError if one is too long."""
        buffer = self.incomplete + data
        events = []
        while True:
            end = _event_end(buffer)
            if end is None:
                break
            events.append(_parse(buffer[:end]))
            buffer = buffer[end:]
        self.incomplete = buffer
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'event exceeds {MAX_EVENT_BYTES} bytes')
        return events


def _event_end(buffer: bytes) -> int | None:
    ends = [start + len(ending) for ending in _EVENT_ENDS if (start := buffer.find(ending)) >= 0]
    return min(ends) if ends else None


def _parse(raw: bytes) -> StreamEvent:
    ident = ''
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'id':
            ident = value.decode('utf-8', 'replace')
        elif name == b'data':
            data.append(value)
    return StreamEvent(raw, ident, b'\n'.join(data) if data else None)
