"""Reports as JSON files and as text tables."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any


def write_json(path: Path, document: dict[str, Any]) -> None:
    """Write a report with sorted keys, so that equal results give equal files."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1, sort_keys=True) + '\n', encoding='utf-8')


def table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return the rows as text with aligned columns, under a header."""
    cells = [[str(c) for c in header]] + [[_cell(c) for c in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = ['  '.join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in cells]
    lines.insert(1, '  '.join('-' * width for width in widths))
    return '\n'.join(lines)


def _cell(value: Any) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)
