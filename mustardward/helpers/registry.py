"""Provide a registry that is filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from ..exceptions import MustardwardError

K = TypeVar("K")
V = TypeVar("V")


class RegistryError(MustardwardError):
    """Raised for a key that is registered twice or not registered."""

    code = "registry-key"


class Registry(Generic[K, V]):
    """Map keys to registered values.

    :param name: kind of the values, for error messages.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that registers its target under ``key``.

        :raises RegistryError: if the key is already registered.
        """

        def decorate(value: V) -> V:
            if key in self._entries:
                raise RegistryError(f"{self._name}: {key} is registered twice")
            self._entries[key] = value
            return value

        return decorate

    def get(self, key: K) -> V | None:
        """Return the value for ``key``, or None."""
        return self._entries.get(key)

    def __getitem__(self, key: K) -> V:
        """Return the value for ``key``.

        :raises RegistryError: if the key is not registered.
        """
        try:
            return self._entries[key]
        except KeyError:
            raise RegistryError(f"{self._name}: {key} is not registered") from None

    def __contains__(self, key: object) -> bool:
        """Return whether ``key`` is registered."""
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        """Iterate over the keys in order of registration."""
        return iter(self._entries)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._entries)
