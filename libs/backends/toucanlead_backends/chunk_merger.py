"""Merges the small chunks of an HTTP/1.1 body, so that parsing costs by content, not by chunks."""

import re

_HEADER = re.compile(rb'([0-9a-fA-F]{1,8})\r\n')
_END = b'\r\n'
MAX_HEADER_BYTES = 10
MAX_MERGED_BYTES = 4096  # a larger chunk is passed on as it is


class ChunkMerger:
    """Rewrites a chunked body as it arrives, into fewer chunks with the same content.

    Whatever isn't a plain chunk, such as the last one, is passed on as it is, and all behind it.
    """

    def __init__(self) -> None:
        self._left = 0  # of a chunk that is passed on, with its end
        self._held = b''  # the beginning of a chunk's header
        self._plain = True

    def feed(self, data: bytes) -> bytes:
        """Return the rewritten bytes; the beginning of a header is kept for the next call."""
        if not self._plain:
            return data
        if self._held:
            data, self._held = self._held + data, b''
        out: list[bytes] = []
        merged: list[bytes] = []
        position = min(self._left, len(data))
        self._left -= position
        if position:
            out.append(data[:position])
        while position < len(data):
            header = _HEADER.match(data, position)
            size = int(header[1], 16) if header else 0
            if not size:
                self._pass_on(out, merged, data[position:], header is None)
                return b''.join(out)
            begin = header.end()
            end = begin + size
            if size <= MAX_MERGED_BYTES and data[end : end + 2] == _END:
                merged.append(data[begin:end])
                position = end + 2
                continue
            _write(out, merged)
            rest = end + 2 - position
            passed = data[position : end + 2]
            out.append(passed)
            self._left = rest - len(passed)
            position += len(passed)
        _write(out, merged)
        return b''.join(out)

    def _pass_on(
        self, out: list[bytes], merged: list[bytes], rest: bytes, may_be_begun: bool
    ) -> None:
        """Pass the rest on, or hold it if it may be the beginning of a header."""
        _write(out, merged)
        if may_be_begun and len(rest) < MAX_HEADER_BYTES and _END not in rest:
            self._held = rest
            return
        self._plain = False
        out.append(rest)


def _write(out: list[bytes], merged: list[bytes]) -> None:
    if merged:
        content = b''.join(merged)
        out.append(b'%x\r\n%s\r\n' % (len(content), content))
        merged.clear()
