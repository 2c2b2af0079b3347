"""Tests that an answer that ends early is never taken for a whole one."""

import asyncio

import pytest

from toucanlead_backends.http_connection import HttpConnection
from toucanlead_core.errors import OutcomeUnknown
from toucanlead_standins.memory_network import on_host, run_in_memory

HOST, PORT = '10.0.0.1', 80
BODY = b'id: 1\ndata: one\n\n'
ANSWERS = {
    'length': b'HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: %d\r\n\r\n%s' % (len(BODY), BODY),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY)
    ),
    'end of the connection': b'HTTP/1.1 200 OK\r\nX-Sig: s\r\nConnection: close\r\n\r\n' + BODY,
    'no body': b'HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n',
}


async def answered(answer, reset):
    """Return the status and body that a client takes from a connection, None if unknown."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await asyncio.sleep(0.01)
        if reset:
            writer.transport.abort()
        else:
            writer.close()

    await on_host(HOST, asyncio.start_server(serve, HOST, PORT))
    conn = await HttpConnection.open(f'{HOST}:{PORT}', 1.0, lambda conn: None)
    conn.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b'')
    try:
        async with asyncio.timeout(5.0):
            response = await conn.next_response()
            return response.head.status, await response.read()
    except OutcomeUnknown:
        return None
    finally:
        conn.close()
        await asyncio.sleep(0.1)  # lets the server close its side


class TestCutAnswers:
    @pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
    @pytest.mark.parametrize('kind', ANSWERS)
    def test_a_head_that_stops_anywhere_is_no_answer(self, kind, reset):
        """Guards against a 200 with an empty body made of half a head (MIXED, ORDER)."""
        whole = ANSWERS[kind]
        head_bytes = whole.index(b'\r\n\r\n') + 4
        for end in range(head_bytes):
            assert run_in_memory(lambda _, end=end: answered(whole[:end], reset)) is None, end

    @pytest.mark.parametrize('kind', ['length', 'chunks'])
    @pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
    def test_a_body_that_stops_anywhere_is_no_answer(self, kind, reset):
        whole = ANSWERS[kind]
        for end in range(whole.index(b'\r\n\r\n') + 4, len(whole)):
            assert run_in_memory(lambda _, end=end: answered(whole[:end], reset)) is None, end

    @pytest.mark.parametrize('kind', ANSWERS)
    def test_a_whole_answer_is_taken(self, kind):
        expected = b'' if kind == 'no body' else BODY
        assert run_in_memory(lambda _: answered(ANSWERS[kind], False)) == (200, expected)

    def test_a_body_without_a_length_is_whole_only_if_it_is_not_reset(self):
        answer = ANSWERS['end of the connection']
        assert run_in_memory(lambda _: answered(answer, True)) is None
