"""Entry point for `python -m toucanlead` and the `toucanlead` command."""

import sys

from .core import main
from .environment import Environment


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == '__main__':
    run()
