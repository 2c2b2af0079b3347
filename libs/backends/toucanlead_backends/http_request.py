"""Encoding of the request line and headers of HTTP/1.1 requests."""

from collections.abc import Iterable

_METHODS_WITHOUT_BODY = frozenset({'GET', 'HEAD', 'DELETE'})


def request_head(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]], body_bytes: int
) -> bytes:
    """Return the encoded request line and headers; raise ValueError if any has a line break.

    Content-Length is left out for an empty body with a method that usually has no body.
    """
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body_bytes or method not in _METHODS_WITHOUT_BODY:
        lines.append(f'Content-Length: {body_bytes}')
    text = '\r\n'.join(lines)
    if text.count('\n') != len(lines) - 1 or text.count('\r') != len(lines) - 1:
        raise ValueError(f'line break in the request line or a header of {method} {target!r}')
    return (text + '\r\n\r\n').encode('utf-8', 'surrogateescape')
