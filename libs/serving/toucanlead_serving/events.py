"""Parsing of server-sent events, which are forwarded unchanged."""

from attrs import define, frozen

_EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


@frozen
class StreamEvent:
    """One complete event: its bytes as received, its id and its data."""

    raw: bytes
    ident: str
    data: bytes


@define
class EventSplitter:
    """Splits a stream into complete events and buffers an incomplete last one."""

    incomplete: bytes = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes."""
        buffer = self.incomplete + data
        events = []
        while True:
            end = _event_end(buffer)
            if end is None:
                break
            events.append(_parse(buffer[:end]))
            buffer = buffer[end:]
        self.incomplete = buffer
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
    return StreamEvent(raw, ident, b'\n'.join(data))
