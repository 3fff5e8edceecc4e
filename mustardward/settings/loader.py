"""Read a YAML settings file and find all its faults at once."""

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


M = TypeVar("M", bound=BaseModel)

_YAML_FAILURES: Final = (yaml.YAMLError, ValueError, AttributeError, RecursionError)
"""What the library raises for a date, number or nesting that it can't read."""


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Hold one fault: where it stands and what was expected there."""

    file: str
    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        """Return the line that an operator reads."""
        return f"{self.file}:{self.line}: {self.key or '-'}: {self.expected}"


class SettingsFaultsError(SettingsError):
    """Report every fault of a settings file.

    :param faults: all of them, in order of lines.
    """

    def __init__(self, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> tuple[SettingsFault, ...]:
        """Return the faults in order of lines."""
        return self._faults


def load_settings(path: Path) -> Settings:
    """Return the settings in a file.

    :raises SettingsFaultsError: if the file can't be read or has faults.
    """
    return load_model(path, Settings)


def load_model(path: Path, model: type[M]) -> M:
    """Return what a YAML file holds, as a model.

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
    """Return the settings that a YAML text holds.

    :param name: what the text is called in faults.
    :raises SettingsFaultsError: if the text has faults.
    """
    return parse_model(text, name, Settings)


def parse_model(text: str, name: str, model: type[M]) -> M:
    """Return what a YAML text holds, as a model.

    :param name: what the text is called in faults.
    :raises SettingsFaultsError: if the text has faults.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
        lines = _Lines(root)
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
        raise SettingsFaultsError(_sorted(faults)) from error
    if faults:
        raise SettingsFaultsError(_sorted(faults))
    return value


class _Lines:
    """Know the line of each key."""

    def __init__(self, root: Node | None) -> None:
        self._lines: dict[KeyPath, int] = {(): 1}
        self._duplicates: list[tuple[KeyPath, int]] = []
        if root is not None:
            self._visit((), root)

    def line(self, path: KeyPath) -> int:
        """Return the line of a key, or of the nearest one that holds it."""
        while path not in self._lines:
            path = path[:-1]
        return self._lines[path]

    def duplicates(self, name: str) -> list[SettingsFault]:
        """Return a fault for each key given twice: YAML would drop the first."""
        return [
            SettingsFault(name, line, _dotted(path), "each key once")
            for path, line in self._duplicates
        ]

    def _visit(self, path: KeyPath, node: Node) -> None:
        if isinstance(node, MappingNode):
            for key, value in node.value:
                self._enter((*path, str(key.value)), key, value)
        elif isinstance(node, SequenceNode):
            for index, value in enumerate(node.value):
                self._enter((*path, index), value, value)

    def _enter(self, path: KeyPath, marked: Node, value: Node) -> None:
        line = marked.start_mark.line + 1
        if path in self._lines:
            self._duplicates.append((path, line))
            return
        self._lines[path] = line
        self._visit(path, value)


def _fault(item: object, lines: _Lines, name: str) -> SettingsFault:
    assert isinstance(item, dict)
    path: KeyPath = tuple(item["loc"])
    expected = str(item["msg"])
    if item["type"] == "extra_forbidden":
        expected = "no such key; see the settings reference"
    elif item["type"] == "missing":
        expected = "this key is required"
    return SettingsFault(name, lines.line(path), _dotted(path), expected)


def _yaml_fault(error: yaml.MarkedYAMLError, name: str) -> SettingsFault:
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark is not None else 0
    return SettingsFault(name, line, "", f"valid YAML ({error.problem})")


def _sorted(faults: list[SettingsFault]) -> tuple[SettingsFault, ...]:
    return tuple(sorted(faults, key=lambda fault: (fault.line, fault.key)))


def _dotted(path: KeyPath) -> str:
    return ".".join(str(part) for part in path)
