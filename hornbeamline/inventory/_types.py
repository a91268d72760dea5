"""Plain form of a document."""

from __future__ import annotations

from typing import Any, TypeAlias

# Section, name inside the section, table. The sections `fleet` and `rules`
# hold one table per key like all others.
Document: TypeAlias = dict[str, dict[str, Any]]
