"""Provide registries that decorators fill."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from ..exceptions import MustardwardError

K = TypeVar("K")
V = TypeVar("V")


class RegistryError(MustardwardError):
    """Report a key registered twice, or one that nobody registered."""

    code = "registry-key"


class Registry(Generic[K, V]):
    """Map keys to variants of one behaviour.

    :param name: what the registry holds, for error texts.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that files its target under ``key``.

        :raises RegistryError: if the key is taken.
        """

        def decorate(value: V) -> V:
            if key in self._entries:
                raise RegistryError(f"{self._name}: {key} is registered twice")
            self._entries[key] = value
            return value

        return decorate

    def get(self, key: K) -> V | None:
        """Return the variant for ``key``, or nothing."""
        return self._entries.get(key)

    def __getitem__(self, key: K) -> V:
        """Return the variant for ``key``.

        :raises RegistryError: if nobody registered the key.
        """
        try:
            return self._entries[key]
        except KeyError:
            raise RegistryError(f"{self._name}: {key} is not registered") from None

    def __contains__(self, key: object) -> bool:
        """Tell whether ``key`` is registered."""
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        """Iterate over the keys in order of registration."""
        return iter(self._entries)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._entries)
