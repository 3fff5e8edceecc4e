"""Load YAML settings files and report all their faults at once."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from yaml.nodes import MappingNode, Node, SequenceNode

from ..exceptions import SettingsError
from .models import Settings

KeyPath = tuple[str | int, ...]


ModelT = TypeVar("ModelT", bound=BaseModel)

_YAML_FAILURES: Final = (yaml.YAMLError, ValueError, AttributeError, RecursionError)
"""Raised by PyYAML for invalid dates and numbers and for too deep nesting."""


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Describe one fault: its location and what was expected there."""

    file: str
    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        """Return the line that ``check`` prints."""
        return f"{self.file}:{self.line}: {self.key or '-'}: {self.expected}"


class SettingsFaultsError(SettingsError):
    """Raised when a settings file has faults.

    :param faults: all faults, sorted by line.
    """

    def __init__(self, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> tuple[SettingsFault, ...]:
        """Return the faults, sorted by line."""
        return self._faults


def load_settings(path: Path) -> Settings:
    """Load settings from a file.

    :raises SettingsFaultsError: if the file can't be read or has faults.
    """
    return load_model(path, Settings)


def load_model(path: Path, model: type[ModelT]) -> ModelT:
    """Load a YAML file into a model.

    :raises SettingsFaultsError: if the file can't be read or has faults.
    """
    name = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = SettingsFault(name, 0, "", f"a readable UTF-8 file ({error})")
        raise SettingsFaultsError((fault,)) from error
    return parse_model(text, name, model)


def parse_settings(text: str, name: str) -> Settings:
    """Parse settings from a YAML text.

    :param name: file name to report in faults.
    :raises SettingsFaultsError: if the text has faults.
    """
    return parse_model(text, name, Settings)


def parse_model(text: str, name: str, model: type[ModelT]) -> ModelT:
    """Parse a YAML text into a model.

    :param name: file name to report in faults.
    :raises SettingsFaultsError: if the text has faults.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
        lines = _LineIndex(root)
    except yaml.MarkedYAMLError as error:
        raise SettingsFaultsError((_yaml_fault(error, name),)) from error
    except _YAML_FAILURES as error:
        fault = SettingsFault(name, 0, "", f"valid YAML ({error})")
        raise SettingsFaultsError((fault,)) from error
    if not isinstance(root, MappingNode):
        raise SettingsFaultsError((SettingsFault(name, 1, "", "a mapping of keys"),))
    faults = lines.duplicates(name)
    try:
        value = model.model_validate(data)
    except ValidationError as error:
        faults += [_fault(item, lines, name) for item in error.errors()]
        raise SettingsFaultsError(_sort_faults(faults)) from error
    if faults:
        raise SettingsFaultsError(_sort_faults(faults))
    return value


class _LineIndex:
    """Map each key to its line."""

    def __init__(self, root: Node | None) -> None:
        self._lines: dict[KeyPath, int] = {(): 1}
        self._duplicates: list[tuple[KeyPath, int]] = []
        if root is not None:
            self._visit((), root)

    def get_line(self, path: KeyPath) -> int:
        """Return the line of a key, or of its nearest parent with a known line."""
        while path not in self._lines:
            path = path[:-1]
        return self._lines[path]

    def duplicates(self, name: str) -> list[SettingsFault]:
        """Return a fault for each duplicate key; YAML would drop the first value."""
        return [
            SettingsFault(name, line, _format_path(path), "each key once")
            for path, line in self._duplicates
        ]

    def _visit(self, path: KeyPath, node: Node) -> None:
        if isinstance(node, MappingNode):
            for key, value in node.value:
                self._add_key((*path, str(key.value)), key, value)
        elif isinstance(node, SequenceNode):
            for index, value in enumerate(node.value):
                self._add_key((*path, index), value, value)

    def _add_key(self, path: KeyPath, key_node: Node, value: Node) -> None:
        line = key_node.start_mark.line + 1
        if path in self._lines:
            self._duplicates.append((path, line))
            return
        self._lines[path] = line
        self._visit(path, value)


def _fault(item: object, lines: _LineIndex, name: str) -> SettingsFault:
    assert isinstance(item, dict)
    path: KeyPath = tuple(item["loc"])
    expected = str(item["msg"])
    if item["type"] == "extra_forbidden":
        expected = "no such key; see the settings reference"
    elif item["type"] == "missing":
        expected = "this key is required"
    return SettingsFault(name, lines.get_line(path), _format_path(path), expected)


def _yaml_fault(error: yaml.MarkedYAMLError, name: str) -> SettingsFault:
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark is not None else 0
    return SettingsFault(name, line, "", f"valid YAML ({error.problem})")


def _sort_faults(faults: list[SettingsFault]) -> tuple[SettingsFault, ...]:
    return tuple(sorted(faults, key=lambda fault: (fault.line, fault.key)))


def _format_path(path: KeyPath) -> str:
    return ".".join(str(part) for part in path)
