"""Fast start of the processes of a fleet: what they import, and when garbage is collected."""

import gc
import importlib.util
import sys

# Objects that are created between two collections; a request creates and frees a few thousand.
YOUNG_OBJECTS = 5_000


def defer_collection() -> None:
    """Collect no garbage until `resume_collection`: imports create many objects that stay."""
    gc.disable()


def resume_collection() -> None:
    """Collect garbage from now on, among the objects created from now on."""
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, *gc.get_threshold()[1:])
    gc.enable()


def import_without_client(package: str = 'aiohttp') -> None:
    """Make the modules of `aiohttp` importable without its package module.

    The package module imports the HTTP client, which reads all root certificates. The
    processes of a fleet use `aiohttp.web` alone. Do nothing if the package is imported already.
    """
    if package in sys.modules:
        return
    spec = importlib.util.find_spec(package)
    if spec is None:
        return
    module = importlib.util.module_from_spec(spec)
    # `aiohttp.http` puts it into the header Server, here without a version
    module.__version__ = ''
    sys.modules[package] = module
