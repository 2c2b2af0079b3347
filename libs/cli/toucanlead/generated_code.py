"""Byte code of the methods that attrs generates, kept like that of the modules themselves.

attrs writes the source of each class's methods while a module is imported, and compiles it.
The build runs this module to compile them once: `python3 -m toucanlead.generated_code`. A
source that is not in the file, such as after an upgrade, is compiled as usual.
"""

import builtins
import importlib
import importlib.util
import marshal
import re
import sys
from collections.abc import Callable
from pathlib import Path
from types import CodeType

import attr._make

from .imports import import_without_client

CODE_FILE = Path(__file__).with_name('generated_code.bin')
PROCESS_MODULES = (
    'toucanlead.core',
    'toucanlead_platform.adapter',
    'toucanlead_serving.entry_process',
    'toucanlead_serving.archive_process',
)

# The number that tells the hashes of a class from those of others; it differs in each process.
CLASS_HASH = re.compile(r'(?<=hash\(\(\n) +-?\d+,')

Codes = dict[tuple[str, str], CodeType]


def use_compiled(path: Path = CODE_FILE) -> None:
    """Have attrs take the code of its methods from a file, if it is of this Python."""
    try:
        magic, codes = marshal.loads(path.read_bytes())
    except (OSError, EOFError, ValueError, TypeError):
        return
    if magic == importlib.util.MAGIC_NUMBER:
        # attrs has no option for this; its module finds this name before the built-in one
        attr._make.compile = _lookup(codes)


def write_compiled(path: Path = CODE_FILE) -> int:
    """Import all modules of the processes; write the code of their methods and return its count.

    Modules that were imported before are left out.
    """
    codes: Codes = {}

    def record(source: str, filename: str, mode: str) -> CodeType:
        code = codes[_key(source, filename)] = builtins.compile(source, filename, mode)
        return code

    attr._make.compile = record
    import_without_client()
    for name in PROCESS_MODULES:
        importlib.import_module(name)
    path.write_bytes(marshal.dumps((importlib.util.MAGIC_NUMBER, codes)))
    return len(codes)


def _key(source: str, filename: str) -> tuple[str, str]:
    return CLASS_HASH.sub('', source), filename


def _lookup(codes: Codes) -> Callable[[str, str, str], CodeType]:
    def find(source: str, filename: str, mode: str) -> CodeType:
        code = codes.get(_key(source, filename))
        return code if code is not None else builtins.compile(source, filename, mode)

    return find


if __name__ == '__main__':
    sys.exit(not write_compiled())
