"""Checks the imports between packages and the use of names of the platform's protocol.

A package may import only the packages listed for it. Only the adapter to the customers'
platform may use names of that platform's protocol.
"""

import ast
import sys
from pathlib import Path

LIBS_FOLDER = Path(__file__).parent.parent / 'libs'
ALLOWED_IMPORTS = {
    'core': set(),
    'policy': {'core'},
    'state': {'core'},
    'kv': {'core'},
    'backends': {'core'},
    'peer': {'core'},
    'archive': {'core', 'kv', 'peer'},
    'replicas': {'core'},
    'links': {'core', 'policy', 'peer', 'replicas'},
    'teams': {'core', 'policy', 'peer'},
    'serving': {
        'core',
        'policy',
        'kv',
        'backends',
        'peer',
        'archive',
        'replicas',
        'links',
        'teams',
    },
    'platform': {'core', 'kv', 'backends', 'peer', 'replicas', 'links', 'teams', 'serving'},
    'platform_standins': {
        'core',
        'kv',
        'backends',
        'peer',
        'archive',
        'replicas',
        'links',
        'teams',
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
ADAPTER_PACKAGES = ('platform', 'platform_standins')

# Prefixes of string constants that are names of the platform's protocol (its PROTOCOL.md).
PROTOCOL_NAME_PREFIXES = (
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
    errors = [error for library in ALLOWED_IMPORTS for error in _check_library(library)]
    for error in errors:
        print(error)
    return 1 if errors else 0


def _package_name(library: str) -> str:
    return 'toucanlead' if library == 'cli' else f'toucanlead_{library}'


def _folder(library: str) -> Path:
    """Return the folder that contains a library's package."""
    return LIBS_FOLDER.parent / 'platform' if library in ADAPTER_PACKAGES else LIBS_FOLDER / library


def _check_library(library: str) -> list[str]:
    errors = []
    for path in sorted(_folder(library).glob(f'{_package_name(library)}/**/*.py')):
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
            if library not in ADAPTER_PACKAGES:
                errors.extend(_check_protocol_names(path, node))
            for name in _imported_modules(node):
                errors.extend(_check_import(library, path, node.lineno, name))
    return errors


def _check_protocol_names(path: Path, node: ast.AST) -> list[str]:
    if not isinstance(node, ast.Constant) or not isinstance(node.value, str):
        return []
    if not node.value.startswith(PROTOCOL_NAME_PREFIXES):
        return []
    location = f'{path.relative_to(LIBS_FOLDER.parent)}:{node.lineno}'
    return [f'{location}: {node.value!r} is a name of the platform; use it only in platform/']


def _imported_modules(node: ast.AST) -> list[str]:
    if isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
        return [node.module]
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    return []


def _check_import(library: str, path: Path, line: int, name: str) -> list[str]:
    package = name.partition('.')[0]
    if not package.startswith('toucanlead'):
        return []
    imported = package.removeprefix('toucanlead_') if package != 'toucanlead' else 'cli'
    location = f'{path.relative_to(LIBS_FOLDER.parent)}:{line}'
    if imported == library:
        return [f'{location}: import {name} relatively']
    if imported not in ALLOWED_IMPORTS[library]:
        return [f'{location}: {library} may not import {name}']
    return []


if __name__ == '__main__':
    sys.exit(main())
