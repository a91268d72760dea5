"""Type of a document."""

from __future__ import annotations

from typing import Any, TypeAlias

# Maps section names to tables by name. In the sections `fleet` and `rules`
# each key counts as a table of its own.
Document: TypeAlias = dict[str, dict[str, Any]]
