"""Checks the imports between packages and where names of the platform's protocol appear.

A package may import only the packages listed for it. Only the adapter to the customers'
platform may use names of that platform's protocol.
"""

import ast
import sys
from pathlib import Path

LIBRARIES = Path(__file__).parent.parent / 'libs'
ALLOWED = {
    'core': set(),
    'policy': {'core'},
    'state': {'core'},
    'kv': {'core'},
    'backends': {'core'},
    'peer': {'core'},
    'archive': {'core', 'kv', 'peer'},
    'serving': {'core', 'policy', 'kv', 'backends', 'peer', 'archive'},
    'platform': {'core', 'kv', 'backends', 'peer', 'serving'},
    'platform_standins': {
        'core',
        'kv',
        'backends',
        'peer',
        'archive',
        'serving',
        'standins',
        'platform',
    },
    'entry': {'core', 'policy', 'state', 'kv', 'backends', 'peer'},
    'standins': {'core', 'kv', 'backends', 'peer', 'state'},
    'trials': {
        'core',
        'policy',
        'state',
        'kv',
        'backends',
        'peer',
        'entry',
        'standins',
    },
    'cli': {'core', 'entry', 'serving', 'platform', 'trials'},
}

# The adapter to the customers' platform; these packages are in platform/ instead of libs/.
ADAPTER = ('platform', 'platform_standins')

# Prefixes of string constants that are names of the platform's protocol (its PROTOCOL.md).
WIRE_NAMES = (
    'Toucanlead-',
    '/kv-',
    'op/',
    'servers/',
    'status/',
    'pathPrefix',
    'storeRevision',
    'tombstone',
    'maxAttempts',
    'ttlMs',
    'waitMs',
)


def main() -> int:
    """Print every violation; return 1 if there is any."""
    errors = [error for library in ALLOWED for error in _errors(library)]
    for error in errors:
        print(error)
    return 1 if errors else 0


def _package(library: str) -> str:
    return 'toucanlead' if library == 'cli' else f'toucanlead_{library}'


def _folder(library: str) -> Path:
    """Return the folder that contains a library's package."""
    return LIBRARIES.parent / 'platform' if library in ADAPTER else LIBRARIES / library


def _errors(library: str) -> list[str]:
    errors = []
    for path in sorted(_folder(library).glob(f'{_package(library)}/**/*.py')):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            if library not in ADAPTER:
                errors.extend(_wire_names(path, node))
            for name in _imported(node):
                errors.extend(_judge(library, path, node.lineno, name))
    return errors


def _wire_names(path: Path, node: ast.AST) -> list[str]:
    if not isinstance(node, ast.Constant) or not isinstance(node.value, str):
        return []
    if not node.value.startswith(WIRE_NAMES):
        return []
    where = f'{path.relative_to(LIBRARIES.parent)}:{node.lineno}'
    return [f'{where}: {node.value!r} is a name of the platform; use it only in platform/']


def _imported(node: ast.AST) -> list[str]:
    if isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
        return [node.module]
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    return []


def _judge(library: str, path: Path, line: int, name: str) -> list[str]:
    top = name.partition('.')[0]
    if not top.startswith('toucanlead'):
        return []
    other = top.removeprefix('toucanlead_') if top != 'toucanlead' else 'cli'
    where = f'{path.relative_to(LIBRARIES.parent)}:{line}'
    if other == library:
        return [f'{where}: import {name} relatively']
    if other not in ALLOWED[library]:
        return [f'{where}: {library} may not import {name}']
    return []


if __name__ == '__main__':
    sys.exit(main())
