"""Tests of how connections to a server that writes unexpected bytes are used."""

import asyncio
import contextlib

from toucanlead_backends.http_connection import ConnectionPool
from toucanlead_standins.memory_network import on_host, run_in_memory

HOST, PORT = '10.0.0.5', 80
ANSWER = b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok'
CALLS = 5


class TestServerThatRepeatsAnswers:
    def test_its_connections_carry_one_request_each_for_a_while(self):
        """Guards against a late copy that meets the next request (MIXED)."""

        async def scenario(_):
            repeated = [True]

            async def serve(reader, writer):
                try:
                    while True:
                        await reader.readuntil(b'\r\n\r\n')
                        writer.write(ANSWER * 2 if repeated.pop() else ANSWER)
                        repeated.append(False)
                except (asyncio.IncompleteReadError, ConnectionError):
                    writer.close()

            async def call():
                conn = await pool.acquire(1.0)
                conn.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b'')
                assert await (await conn.next_response()).read() == b'ok'
                pool.release(conn)

            await on_host(HOST, asyncio.start_server(serve, HOST, PORT))
            pool = ConnectionPool(f'{HOST}:{PORT}')
            for _ in range(CALLS):
                await call()
            assert pool.opened_count == CALLS
            await asyncio.sleep(ConnectionPool.SINGLE_USE_S)
            for _ in range(CALLS):
                await call()
            assert pool.opened_count == CALLS + 1
            pool.close()
            await asyncio.sleep(0.1)  # lets the server close its side

        run_in_memory(scenario)


class TestRepeatedId:
    def test_a_request_with_an_id_that_was_carried_adds_no_connection(self):
        async def scenario(_):
            async def serve(reader, writer):
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    while True:
                        await reader.readuntil(b'\r\n\r\n')
                        writer.write(ANSWER)
                writer.close()

            async def call(ident):
                conn = await pool.acquire(1.0, ident)
                assert ident not in conn_ids.setdefault(conn, set())
                conn_ids[conn].add(ident)
                conn.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b'', ident)
                assert await (await conn.next_response()).read() == b'ok'
                pool.release(conn)

            conn_ids = {}
            await on_host(HOST, asyncio.start_server(serve, HOST, PORT))
            pool = ConnectionPool(f'{HOST}:{PORT}')
            for _ in range(20):
                await call('same')
                await asyncio.sleep(0.01)
            assert len(pool) == 1
            assert len(conn_ids) == 20
            await asyncio.gather(*(call(f'r{number}') for number in range(CALLS)))
            assert len(pool) == CALLS
            for _ in range(20):
                await call('other')
                await asyncio.sleep(0.01)
            assert len(pool) == CALLS
            pool.close()
            await asyncio.sleep(0.1)  # lets the server close its side

        run_in_memory(scenario)
