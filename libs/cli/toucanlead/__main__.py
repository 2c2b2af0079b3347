"""Entry point for `python -m toucanlead` and the `toucanlead` command."""

import sys

from .imports import defer_collection, import_without_client
from .roles import parse_role


def run() -> None:
    """Run the command line and exit with its status."""
    args = sys.argv[1:]
    if parse_role(args):
        _start_fast()
    from .core import main
    from .environment import Environment

    sys.exit(main(args, Environment.from_process()))


def _start_fast() -> None:
    """Prepare the imports of a process of a fleet, before any of its modules is imported."""
    defer_collection()
    from .generated_code import use_compiled

    use_compiled()
    import_without_client()


if __name__ == '__main__':
    run()
