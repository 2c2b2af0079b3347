"""Decides which bytes on an HTTP/1.1 connection belong to the answer that a request is owed.

Does no input or output. h11 parses each answer on its own, so that no byte behind it is
hidden; `_NEXT` says what each event leads to. Bytes that cannot be attributed cost the
connection, since what follows them cannot be attributed either.
"""

import re
from collections import deque
from collections.abc import Iterator
from enum import Enum, auto

import h11
from attrs import frozen

from toucanlead_core.http_status import is_final_status

from .chunk_merger import ChunkMerger

MAX_HEADER_BYTES = 32_768  # responses carry a few hundred bytes of headers
MAX_HEAD_BYTES = 65_536  # received without a complete head; a faulty server may never end it
MAX_INTERIM_ANSWERS = 8  # 1xx, before the answer
MAX_LATE_ANSWERS = 4  # to earlier requests, before the answer to this one
MAX_SKIPPED_BYTES = 65_536  # of a late answer
COPY_HEAD_BYTES = 4096  # from the start of an answer, within which it names its request

_START = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')  # as far as h11 accepts it
_START_BYTES = 12
_CLEAN_START = b'HTTP/1.'
_END_OF_HEAD = b'\r\n\r\n'
_NO_BODY = (204, 304)
_REQUESTS = {
    method: h11.Request(method=method, target='/', headers=[('Host', 'h')])
    for method in ('GET', 'HEAD')
}
_END_OF_REQUEST = h11.EndOfMessage()


class State(Enum):
    """What a connection owes."""

    IDLE = auto()  # nothing
    WAITING = auto()  # an answer, of which no whole head has come
    SKIPPING = auto()  # an answer, after the rest of one to an earlier request
    BODY = auto()  # the rest of the answer
    DONE = auto()  # nothing, but the answer is still in use
    LOST = auto()


class Step(Enum):
    """What happens on a connection; whatever `_NEXT` doesn't list loses it."""

    SENT = auto()
    INTERIM_HEAD = auto()
    OTHER_HEAD = auto()  # of an answer that names another request
    OWN_HEAD = auto()
    END = auto()  # of the answer whose head came last
    END_BEFORE_NEXT = auto()  # the same, while another request waits for its answer
    RELEASED = auto()
    UNEXPECTED_BYTES = auto()


_NEXT = {
    (State.IDLE, Step.SENT): State.WAITING,
    (State.IDLE, Step.RELEASED): State.IDLE,
    (State.WAITING, Step.INTERIM_HEAD): State.WAITING,
    (State.WAITING, Step.OTHER_HEAD): State.SKIPPING,
    (State.WAITING, Step.OWN_HEAD): State.BODY,
    (State.SKIPPING, Step.END): State.WAITING,
    (State.BODY, Step.END): State.DONE,
    (State.BODY, Step.END_BEFORE_NEXT): State.WAITING,
    (State.DONE, Step.RELEASED): State.IDLE,
}


class UnexpectedBytes(ConnectionError):
    """Bytes of a server belong to no answer that it owes."""


@frozen
class AnswerHead:
    """Status and headers of the answer; `closes` if the server closes the connection after it."""

    status: int
    headers: list[tuple[str, str]]
    closes: bool


@frozen
class AnswerEnd:
    """The end of a whole answer."""


@frozen
class LateAnswer:
    """An answer that names another request begins, and is skipped."""

    ident: str


AnswerEvent = AnswerHead | bytes | AnswerEnd | LateAnswer


class AnswerReader:
    """Reads the answers of one connection, in the order of its requests.

    An answer that names another request is skipped if it ends, holds nothing of the request's
    own answer, and another answer begins behind it. An answer that names no request counts
    only on a connection that was not used before.
    """

    def __init__(self, id_header: str = '') -> None:
        """`id_header` is the header in which answers name their request, if they do."""
        self.state = State.IDLE
        self.requests = 0
        self._id_header = id_header.lower().encode()
        self._owed: deque[tuple[str, bytes]] = deque()  # sent while an answer was due
        self._ident = b''
        self._method = 'GET'
        self._interim_answers = 0
        self._late_answers = 0
        self._raw = bytearray()  # received, and not yet attributed
        self._merger: ChunkMerger | None = None  # of a body in chunks
        self._copy = _CopySearch(b'', b'')
        self._interim_heads = b''
        self._merger = None
        self._parser = h11.Connection(h11.CLIENT)

    def send(self, method: str, ident: str) -> None:
        """Note that a request is sent; `ident` is its id, if it has one."""
        self.requests += 1
        owed = ('HEAD' if method == 'HEAD' else 'GET', ident.encode('utf-8', 'surrogateescape'))
        if self.state in (State.WAITING, State.SKIPPING, State.BODY):
            self._owed.append(owed)
        else:
            self._move(Step.SENT)
            self._expect_answer(owed, b'')

    def release(self) -> None:
        """Note that the answer is no longer in use."""
        self._move(Step.RELEASED)

    def receive(self, data: bytes) -> list[AnswerEvent]:
        """Return what the bytes add to the answer; raise UnexpectedBytes if they belong to none.

        After an answer that has ended, further bytes lose the connection, but not the answer.
        """
        if self.state is State.LOST:
            return []
        if self.state in (State.IDLE, State.DONE):
            raise self._lose('bytes without a request')
        events = []
        for piece in self._split_behind_head(data):
            if self.state is State.DONE:  # without a body
                self._move(Step.UNEXPECTED_BYTES)
            if self.state is State.LOST:
                break
            self._raw += piece
            if self._merger is not None:
                piece = self._merger.feed(piece)
            if piece:  # none is the end of the connection for h11
                self._parser.receive_data(piece)
                events += self._events()
            else:
                self._check_body()
        return events

    def _split_behind_head(self, data: bytes) -> Iterator[bytes]:
        """Yield the data, heads apart from what is behind them, so that a body begins anew."""
        begin = 0
        while begin < len(data):
            end = len(data)
            if self.state is State.WAITING:
                before = bytes(self._raw[1 - len(_END_OF_HEAD) :])
                found = (before + data[begin:]).find(_END_OF_HEAD)
                if found >= 0:
                    end = begin + found + len(_END_OF_HEAD) - len(before)
            yield data[begin:end]
            begin = end

    def receive_eof(self) -> list[AnswerEvent]:
        """Return the end of an answer without a length; raise UnexpectedBytes if it is cut."""
        if self.state is not State.BODY:
            return []
        if self._copy.begun(b''):
            raise self._lose('an answer starts at the end of a body')
        self._parser.receive_data(b'')
        return list(self._events())

    def _events(self) -> Iterator[AnswerEvent]:
        while self.state in (State.WAITING, State.SKIPPING, State.BODY):
            if self.state is State.WAITING:
                self._check_start()
            event = self._next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.InformationalResponse):
                head = self._take_raw()
                self._check_head(head)
                self._interim_heads += head
                self._interim_answers += 1
                if self._interim_answers > MAX_INTERIM_ANSWERS:
                    raise self._lose('too many interim responses')
                self._move(Step.INTERIM_HEAD)
            elif isinstance(event, h11.Response):
                yield from self._read_head(event)
            elif isinstance(event, h11.Data):
                if self.state is State.BODY:
                    yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                yield from self._end_answer()
            else:
                raise self._lose('connection closed')
        self._check_body()

    def _next_event(self) -> h11.Event | type:
        """Return the next event; raise UnexpectedBytes if the bytes are no answer.

        h11's error is not kept: its traceback would hold all that was received.
        """
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            cause = str(exc)
        raise self._lose(cause)

    def _read_head(self, event: h11.Response) -> Iterator[AnswerEvent]:
        head = self._take_raw()
        self._check_head(head)
        if not is_final_status(event.status_code):
            raise self._lose(f'status {event.status_code}')
        headers = [
            (name.decode('utf-8', 'surrogateescape'), value.decode('utf-8', 'surrogateescape'))
            for name, value in event.headers.raw_items()
        ]
        values: dict[bytes, list[bytes]] = {}
        for name, value in event.headers:
            if len(value) > MAX_HEADER_BYTES:
                raise self._lose(f'a header of more than {MAX_HEADER_BYTES} bytes')
            values.setdefault(name, []).append(value)
        has_length = b'content-length' in values
        if has_length and b'transfer-encoding' in values:
            raise self._lose('both a length and chunks')
        until_eof = (
            not has_length
            and b'transfer-encoding' not in values
            and event.status_code not in _NO_BODY
            and self._method != 'HEAD'
        )
        ids = set(values.get(self._id_header, ()))
        if len(ids) > 1:
            raise self._lose('an answer that names two requests')
        if ids and self._ident not in ids:
            (other,) = ids
            self._late_answers += 1
            if until_eof or self._late_answers > MAX_LATE_ANSWERS:
                raise self._lose('only answers to other requests')
            self._move(Step.OTHER_HEAD)
            yield LateAnswer(other.decode('utf-8', 'replace'))
            return
        if self._id_header and not ids and self.requests > 1:
            raise self._lose(f'status {event.status_code} that names no request')
        self._move(Step.OWN_HEAD)
        if b'transfer-encoding' in values and not self._raw:
            self._merger = ChunkMerger()
        self._copy = _CopySearch(self._interim_heads + head, self._id_header)
        connection = b','.join(values.get(b'connection', ())).lower().split(b',')
        closes = (
            until_eof
            or event.http_version < b'1.1'
            or b'close' in {token.strip() for token in connection}
        )
        yield AnswerHead(event.status_code, headers, closes)

    def _end_answer(self) -> Iterator[AnswerEvent]:
        rest = self._parser.trailing_data[0]
        answer = self._take_raw()
        if self.state is State.SKIPPING:
            self._check_late_answer(answer)
            self._move(Step.END)
            self._expect_head(rest)
            return
        if self._copy.found(answer) or self._copy.begun(rest):
            raise self._lose('a body holds a second copy of its answer')
        yield AnswerEnd()
        if self._owed:
            self._move(Step.END_BEFORE_NEXT)
            self._expect_answer(self._owed.popleft(), rest)
            return
        self._move(Step.END)
        if rest:
            self._move(Step.UNEXPECTED_BYTES)

    def _check_start(self) -> None:
        """Lose the connection if what follows does not begin like an answer."""
        start = bytes(self._raw[: len(_CLEAN_START)])
        if not _CLEAN_START.startswith(start):
            raise self._lose(f'no start of an answer: {start!r}')

    def _check_head(self, head: bytes) -> None:
        if _START.search(head, 1):
            raise self._lose('a head holds the start of another answer')

    def _check_late_answer(self, data: bytes | bytearray) -> None:
        if _START.search(data) or (self._ident and self._ident in data):
            raise self._lose('a late answer holds another')

    def _check_body(self) -> None:
        if self.state is State.SKIPPING:
            if len(self._raw) > MAX_SKIPPED_BYTES:
                raise self._lose(f'a late answer of more than {MAX_SKIPPED_BYTES} bytes')
            self._check_late_answer(self._raw)
        elif self.state is State.BODY:
            received, self._raw = bytes(self._raw), bytearray()
            if self._copy.found(received):
                raise self._lose('a body holds a second copy of its answer')

    def _take_raw(self) -> bytes:
        """Return the bytes up to where the parser is; keep those behind."""
        rest = self._parser.trailing_data[0]
        taken = bytes(self._raw[: len(self._raw) - len(rest)])
        self._raw = bytearray(rest)
        return taken

    def _expect_answer(self, owed: tuple[str, bytes], received: bytes) -> None:
        self._method, self._ident = owed
        self._interim_answers = 0
        self._late_answers = 0
        self._expect_head(received)

    def _expect_head(self, received: bytes) -> None:
        self._interim_heads = b''
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._parser.send(_REQUESTS[self._method])
        self._parser.send(_END_OF_REQUEST)
        self._raw = bytearray(received)
        if received:
            self._parser.receive_data(received)

    def _move(self, step: Step) -> None:
        self.state = _NEXT.get((self.state, step), State.LOST)

    def _lose(self, cause: str) -> UnexpectedBytes:
        self._move(Step.UNEXPECTED_BYTES)
        self._raw = bytearray()
        self._parser = h11.Connection(h11.CLIENT)
        return UnexpectedBytes(cause)


class _CopySearch:
    """Looks in a body for another answer: one that repeats the head, or names a request.

    Text that only looks like a status line is no answer.
    """

    def __init__(self, head: bytes, id_header: bytes) -> None:
        """`head` is the head of the answer, `id_header` the header in which answers name theirs."""
        self._head = head[:COPY_HEAD_BYTES]
        self._name = re.compile(rb'\n' + re.escape(id_header) + rb':', re.IGNORECASE)
        self._names = bool(id_header)
        self._tail = b''  # may hold the beginning of an answer

    def found(self, data: bytes) -> bool:
        """Return whether another answer has come with these bytes."""
        window = self._tail + data
        self._tail = window[-COPY_HEAD_BYTES:]
        if self._head and self._head in window:
            return True
        return self._names and any(
            self._is_in_head(window, name.start()) for name in self._name.finditer(window)
        )

    def begun(self, rest: bytes) -> bool:
        """Return whether an answer begins in the body and ends behind it, in `rest`.

        Without such bytes, only one that repeats the head as far as it goes counts.
        """
        tail = self._tail
        if not rest:
            starts = [match.start() for match in _START.finditer(tail)]
            return any(self._head.startswith(tail[start:]) for start in starts)
        joined = tail + rest[:COPY_HEAD_BYTES]
        crossing = _START.search(joined, max(0, len(tail) - _START_BYTES + 1))
        if crossing is not None and crossing.start() < len(tail):
            return True
        size = len(self._head)
        return any(
            self._head.startswith(joined[offset : offset + size])
            for offset in range(max(0, len(tail) - size), len(tail))
        )

    def _is_in_head(self, window: bytes, position: int) -> bool:
        """Return whether a position lies in the head of an answer."""
        begin = max(0, position - COPY_HEAD_BYTES)
        starts = [match.start() for match in _START.finditer(window, begin, position)]
        return bool(starts) and _END_OF_HEAD not in window[starts[-1] : position]
