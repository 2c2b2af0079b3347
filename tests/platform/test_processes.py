"""Entry and archive processes run by command without a key-value service, and their logs."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from toucanlead.logs import MAX_BUFFER_BYTES, LogWriter
from toucanlead.status import ExitStatus

from ..utils.command import toucanlead

TIMEOUT_S = 20.0  # a process starts in 0.5 s and stops within its grace period of 8 s

SETTINGS = """
[process]
name = 'front-1'
zone = 'centro-a'
region = 'centro'

[listen]
callers = '127.0.0.1:{callers}'
readiness = '127.0.0.1:{readiness}'
peers = '127.0.0.1:{peers}'
metrics = '127.0.0.1:{metrics}'

[service]
address = '127.0.0.1:{unused}'

[archive]
folder = '{folder}'

[tolerance]
vms = {tolerance}

[zones]
centro-a = 'centro'
"""
PORTS = ('callers', 'readiness', 'peers', 'metrics', 'unused')


def free_ports(count):
    """Return ports that are free at the time of the call."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class RunningProcess:
    """A command running as a subprocess, with its settings file and log."""

    def __init__(self, tmp_path, *command):
        self.ports = dict(zip(PORTS, free_ports(len(PORTS))))
        self.path = tmp_path / 'settings.toml'
        self.folder = tmp_path
        self.write_settings(tolerance=1)
        self.log_path = tmp_path / 'log'
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'toucanlead', *command, '--config', str(self.path)],
                stdout=log,
                stderr=log,
            )

    def write_settings(self, tolerance):
        """Write the settings file."""
        text = SETTINGS.format(folder=self.folder / 'disk', tolerance=tolerance, **self.ports)
        self.path.write_text(text)

    def log(self):
        """Return the log so far."""
        return self.log_path.read_text()

    def wait_for_log(self, text):
        """Wait until the log contains the text."""
        end = time.monotonic() + TIMEOUT_S
        while text not in self.log():
            assert time.monotonic() < end, f'{text} not in {self.log()}'
            time.sleep(0.05)

    def status_of(self, port, path='/'):
        """Return the HTTP status of a request to a port."""
        headers = {'Toucanlead-Request-Id': 'r1', 'Toucanlead-Deadline-Ms': '2000'}
        req = urllib.request.Request(f'http://127.0.0.1:{self.ports[port]}{path}', headers=headers)
        try:
            with urllib.request.urlopen(req) as resp:
                return resp.status
        except urllib.error.HTTPError as exc:
            return exc.code


@pytest.fixture
def start_command(tmp_path):
    """Return a function that starts a command as a subprocess, killed after the test."""
    started = []

    def start(*command):
        started.append(RunningProcess(tmp_path, *command))
        return started[-1]

    yield start
    for proc in started:
        if proc.process.poll() is None:
            proc.process.kill()
        proc.process.wait()


class TestProcesses:
    @pytest.mark.parametrize(
        ('command', 'name'),
        [(('entry', '--adapter', 'platform'), 'entry'), (('archive',), 'archive')],
    )
    def test_takes_changed_settings_and_stops_when_asked(self, start_command, command, name):
        proc = start_command(*command)
        proc.wait_for_log(f'event={name}_started')
        proc.write_settings(tolerance=2)
        proc.process.send_signal(signal.SIGHUP)
        proc.wait_for_log('event=settings_in_force')
        proc.write_settings(tolerance=-1)
        proc.process.send_signal(signal.SIGHUP)
        proc.wait_for_log('event=settings_refused')
        assert proc.process.poll() is None
        proc.process.send_signal(signal.SIGTERM)
        assert proc.process.wait(TIMEOUT_S) == ExitStatus.SUCCESS
        assert f'event={name}_stopped' in proc.log()

    @pytest.mark.parametrize(
        ('command', 'name'),
        [(('entry', '--adapter', 'platform'), 'entry'), (('archive',), 'archive')],
    )
    def test_more_signals_and_a_reload_during_a_planned_stop_change_nothing(
        self, start_command, command, name
    ):
        proc = start_command(*command)
        proc.wait_for_log(f'event={name}_started')
        proc.process.send_signal(signal.SIGTERM)
        proc.wait_for_log(f'event={name}_stopping')
        proc.write_settings(tolerance=2)
        for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            if proc.process.poll() is None:
                proc.process.send_signal(signum)
                time.sleep(0.1)
        assert proc.process.wait(TIMEOUT_S) == ExitStatus.SUCCESS
        log = proc.log()
        assert f'event={name}_stopped' in log
        assert 'level=error' not in log
        assert 'Traceback' not in log

    def test_an_entry_without_the_service_is_not_ready_and_refuses_at_once(self, start_command):
        proc = start_command('entry', '--adapter', 'platform')
        proc.wait_for_log('event=entry_started')
        assert proc.status_of('readiness') == 503
        assert proc.status_of('callers') == 503
        assert proc.status_of('metrics', '/metrics') == 200
        proc.wait_for_log('event=key_value_service_lost')

    def test_settings_are_checked(self, tmp_path):
        path = tmp_path / 'settings.toml'
        path.write_text(SETTINGS.replace('{tolerance}', '-1').replace("'centro-a'", '7', 1))
        result = toucanlead('check-config', str(path), '--adapter', 'platform')
        assert result.status is ExitStatus.BAD_CONFIG
        assert 'process.zone' in result.stderr
        assert "tolerance: 'vms'" in result.stderr


class TestLogWriter:
    def test_a_reader_that_has_stopped_never_blocks_the_writer(self):
        async def scenario():
            reader, target = os.pipe()
            writer = LogWriter(target)
            line = 'event=request_ended ' + 'x' * 200 + '\n'
            started_at = time.monotonic()
            for _ in range(50):
                for _ in range(100):
                    writer.write(line)
                await asyncio.sleep(0)
            assert time.monotonic() - started_at < 1.0
            assert writer.dropped > 0
            text = b''
            while b'log_lines_dropped' not in text:
                text += await asyncio.to_thread(os.read, reader, 1 << 16)
                await asyncio.sleep(0.06)
            lines = text.decode().splitlines()
            assert all(logged in (line.strip(), lines[-1]) for logged in lines)
            assert len(text) <= MAX_BUFFER_BYTES + (1 << 17)
            os.close(reader)
            os.close(target)

        asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
