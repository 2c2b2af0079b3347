"""JSON encoding and decoding of attrs classes, based on cattrs."""

from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

T = TypeVar('T')

converter = make_converter(forbid_extra_keys=True)
_stored_converter = make_converter()
# Without strict hooks, cattrs coerces '7' to 7 and True to 1.
MAX_SHOWN_CHARS = 80  # of an invalid value, in an error
_SCALAR_TYPES = (int, str, float, bool)


def _strict_hook(kind: type) -> Any:
    def structure_scalar(value: Any, target: type) -> Any:
        if target is not kind:  # an Enum with this scalar as its mixin type
            return target(value)
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise ValueError(f'expected {kind.__name__}, got {repr(value)[:MAX_SHOWN_CHARS]}')
        return value

    return structure_scalar


for _kind in _SCALAR_TYPES:
    for _converter in (converter, _stored_converter):
        _converter.register_structure_hook(_kind, _strict_hook(_kind))


def to_json(value: Any) -> bytes:
    """Encode a value as JSON with sorted keys, so that equal values give equal bytes."""
    return orjson.dumps(converter.unstructure(value), option=orjson.OPT_SORT_KEYS)


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON into a typed value; raise ValueError naming each invalid field."""
    return _structure(_loads(data), kind, converter)


def from_stored_json(data: bytes, kind: type[T]) -> T:
    """Decode a record that another process has stored; raise ValueError as `from_json` does.

    Unknown fields are ignored: a process of a later version may have written them.
    """
    return _structure(_loads(data), kind, _stored_converter)


def _loads(data: bytes) -> Any:
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise ValueError(f'malformed JSON: {exc}') from None


def structure(raw: Any, kind: type[T]) -> T:
    """Build a typed value from dicts and lists; raise ValueError naming each invalid field."""
    return _structure(raw, kind, converter)


def _structure(raw: Any, kind: type[T], chosen: cattrs.Converter) -> T:
    try:
        return chosen.structure(raw, kind)
    except BaseValidationError as exc:
        raise ValueError(
            '; '.join(cattrs.transform_error(exc, format_exception=_format_error))
        ) from None
    except (TypeError, KeyError, AttributeError, OverflowError) as exc:
        raise ValueError(f'expected {getattr(kind, "__name__", kind)}: {exc}') from None


def _format_error(exc: BaseException, kind: type | None) -> str:
    """Describe the error of one field; a ValueError carries its own message."""
    if isinstance(exc, ValueError) and exc.args:
        return str(exc.args[0])
    return cattrs.v.format_exception(exc, kind)
