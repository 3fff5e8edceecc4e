"""Generate the settings reference page from the settings models."""

from __future__ import annotations

import typing
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from types import NoneType, UnionType
from typing import Any

import annotated_types
from pydantic import BaseModel
from pydantic.fields import FieldInfo

from .models import Settings

_HEAD = """\
# Settings

One YAML file configures one entry process; `mustardward check FILE` validates it and
prints a line for each fault (file, line, key, what was expected), exit code 1 with
any. Unknown keys and keys given twice are faults. `mustardward serve FILE` runs the
entry. Documented examples for both deployments stand in
`mustardward/settings/examples/`.

This page is written by `mustardward check --reference`.

| Key | Type | Default | Bounds | Meaning |
|---|---|---|---|---|
"""
_TYPE_NAMES = {Path: "path", NoneType: "nothing"}


@dataclass(frozen=True, slots=True)
class ReferenceRow:
    """One row of the settings table."""

    key: str
    type: str
    default: str
    bounds: str
    meaning: str

    def __str__(self) -> str:
        """Return the row in Markdown."""
        cells = (f"`{self.key}`", self.type, self.default, self.bounds, self.meaning)
        return "| " + " | ".join(cells) + " |"


def settings_reference() -> str:
    """Return the settings reference page in Markdown."""
    rows = "".join(f"{row}\n" for row in _rows(Settings, ""))
    return _HEAD + rows


def _rows(model: type[BaseModel], prefix: str) -> Iterator[ReferenceRow]:
    for name, field in model.model_fields.items():
        key = f"{prefix}{name}"
        nested, is_list = _nested_model(field.annotation)
        if nested is None:
            yield _row(key, field)
        else:
            yield ReferenceRow(
                key,
                "list of mappings" if is_list else "mapping",
                "required" if field.is_required() else "see below",
                "",
                " ".join((nested.__doc__ or "").split()),
            )
            yield from _rows(nested, f"{key}[]." if is_list else f"{key}.")


def _row(key: str, field: FieldInfo) -> ReferenceRow:
    return ReferenceRow(
        key,
        _type_name(field.annotation),
        "required" if field.is_required() else f"`{field.default}`",
        ", ".join(_bounds(field)),
        field.description or "",
    )


def _nested_model(annotation: Any) -> tuple[type[BaseModel] | None, bool]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation, False
    is_list = typing.get_origin(annotation) is tuple
    for part in typing.get_args(annotation):
        if isinstance(part, type) and issubclass(part, BaseModel):
            return part, is_list
    return None, False


def _type_name(annotation: Any) -> str:
    if isinstance(annotation, UnionType):
        return " or ".join(_type_name(part) for part in typing.get_args(annotation))
    return _TYPE_NAMES.get(annotation, getattr(annotation, "__name__", str(annotation)))


def _bounds(field: FieldInfo) -> Iterator[str]:
    for item in field.metadata:
        if isinstance(item, annotated_types.Gt):
            yield f"> {item.gt}"
        elif isinstance(item, annotated_types.Ge):
            yield f"≥ {item.ge}"
        elif isinstance(item, annotated_types.Le):
            yield f"≤ {item.le}"
        elif isinstance(item, annotated_types.MinLen):
            yield f"at least {item.min_length} characters"
        elif isinstance(item, annotated_types.MaxLen):
            yield f"at most {item.max_length} characters"
        elif getattr(item, "pattern", None):
            yield f"`{item.pattern}`"
