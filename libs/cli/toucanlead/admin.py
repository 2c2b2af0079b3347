"""Implementation of the operator commands."""

import json
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from toucanlead_trials.report import table

from .environment import Environment
from .errors import AdminError
from .status import ExitStatus

if TYPE_CHECKING:
    from .client import AdminClient

SERVER_VARIABLE = 'TOUCANLEAD_SERVER'
KEY_VARIABLE = 'TOUCANLEAD_KEY'
DEFAULT_SERVER = '127.0.0.1:8082'
ROLLOUT_TIMEOUT_S = 60.0
ROLLOUT_POLL_S = 0.3


class AdminCommands:
    """Implements each operator command as requests to the administration API.

    The server address and the operator key come from environment variables.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env

    def status(self) -> ExitStatus:
        """Print the status of an entry and its replicas."""
        document = self._client().request('GET', '/admin/status').document
        replicas = document.pop('replicas')
        self._env.print_out(
            table(['what', 'value'], [[key, _cell_text(value)] for key, value in document.items()])
        )
        rows = [[name, load['outstanding'], load['leaving']] for name, load in replicas.items()]
        if rows:
            self._env.print_out(table(['replica', 'outstanding', 'leaving'], rows))
        return ExitStatus.SUCCESS

    def preset(self, action: str, name: str, file: str, base: str, wait: bool) -> ExitStatus:
        """Run one of the preset actions."""
        client = self._client()
        if action == 'list':
            document = client.request('GET', '/admin/presets').document
            for preset in document['presets']:
                mark = '*' if preset == document['in_force'] else ' '
                self._env.print_out(f'{mark} {preset}')
            return ExitStatus.SUCCESS
        if action == 'show':
            return self._print_json(client.request('GET', f'/admin/presets/{name}').document)
        if action == 'history':
            rows = client.request('GET', '/admin/config/history').document['history']
            cells = [[r['revision'], r['preset'], r['author'], r['summary']] for r in rows]
            self._env.print_out(table(['revision', 'preset', 'author', 'change'], cells))
            return ExitStatus.SUCCESS
        if action == 'diff':
            before, _, after = name.partition('..')
            path = f'/admin/config/diff/{before}/{after}'
            return self._print_json(client.request('GET', path).document['changes'])
        if action == 'put':
            body = tomllib.loads(Path(file).read_text(encoding='utf-8'))
            reply = client.request('PUT', f'/admin/presets/{name}', body, base or None)
        else:
            path = f'/admin/presets/{name}/activate'
            reply = client.request('POST', path, None, base or None)
        return self._report_accepted(client, reply.document['revision'], wait)

    def drain(self, address: str, lift: bool, wait: bool) -> ExitStatus:
        """Drain a backend server, or lift its drain."""
        client = self._client()
        method = 'DELETE' if lift else 'PUT'
        reply = client.request(method, f'/admin/drains/{address}')
        return self._report_accepted(client, reply.document['revision'], wait)

    def program(self, action: str, team: str, program: str) -> ExitStatus:
        """Show or end a program."""
        method = 'DELETE' if action == 'end' else 'GET'
        path = f'/admin/programs/{team}/{program}'
        return self._print_json(self._client().request(method, path).document)

    def doubt(self, action: str, program: str, seq: int, ran: str, content: str) -> ExitStatus:
        """List the calls whose outcome is unknown, or resolve one."""
        client = self._client()
        if action == 'list':
            document = client.request('GET', '/admin/doubts').document
            rows = [[d['program_id'], d['seq'], d['team'], d['tool']] for d in document['doubts']]
            self._env.print_out(table(['program', 'seq', 'team', 'tool'], rows))
            for entry in document['unread']:
                self._env.print_err(f'{entry}: could not read its calls in doubt')
            return ExitStatus.SUCCESS
        if ran not in ('yes', 'no'):
            raise AdminError('resolve needs --ran yes or --ran no')
        body = {'content': content if ran == 'yes' else None}
        client.request('POST', f'/admin/doubts/{program}/{seq}', body)
        self._env.print_out(f'{program} call {seq}: resolved')
        return ExitStatus.SUCCESS

    def _report_accepted(self, client: 'AdminClient', revision: int, wait: bool) -> ExitStatus:
        self._env.print_out(f'revision {revision} accepted')
        if not wait:
            return ExitStatus.SUCCESS
        deadline = self._env.clock() + ROLLOUT_TIMEOUT_S
        while True:
            entries = client.request('GET', '/admin/config/rollout').document['entries']
            behind = [
                name for name, current in entries.items() if current is None or current < revision
            ]
            self._env.print_err(
                f'in force at {len(entries) - len(behind)} of {len(entries)} entries'
            )
            if not behind:
                return ExitStatus.SUCCESS
            if self._env.clock() > deadline:
                self._env.print_err('not in force at: ' + ' '.join(behind))
                return ExitStatus.ERROR
            time.sleep(ROLLOUT_POLL_S)

    def _print_json(self, document: Any) -> ExitStatus:
        self._env.print_out(json.dumps(document, indent=1, ensure_ascii=False))
        return ExitStatus.SUCCESS

    def _client(self) -> 'AdminClient':
        from .client import AdminClient

        variables = self._env.variables
        key = variables.get(KEY_VARIABLE, '')
        if not key:
            raise AdminError(f'set {KEY_VARIABLE} to an operator key')
        return AdminClient(variables.get(SERVER_VARIABLE, DEFAULT_SERVER), key)


def _cell_text(value: Any) -> str:
    return ' '.join(value) if isinstance(value, list) else str(value)
