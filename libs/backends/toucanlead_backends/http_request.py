"""Heads of HTTP/1.1 requests, written as they are to go out."""

from collections.abc import Iterable

_BODILESS = frozenset({'GET', 'HEAD', 'DELETE'})


def request_head(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]], body_bytes: int
) -> bytes:
    """Return request line and headers; ValueError when a line break is in any of them.

    The body's length is stated unless there is no body and the method has none by custom.
    """
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body_bytes or method not in _BODILESS:
        lines.append(f'Content-Length: {body_bytes}')
    text = '\r\n'.join(lines)
    if text.count('\n') != len(lines) - 1 or text.count('\r') != len(lines) - 1:
        raise ValueError(f'line break in a header of {method} {target!r}')
    return (text + '\r\n\r\n').encode('utf-8', 'surrogateescape')
