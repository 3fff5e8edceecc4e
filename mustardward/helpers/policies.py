"""Name the policies that settings can switch off, and what stands in for each.

What a policy is worth is told by runs without it. Each is a function that a decorator
files under a name, beside the plainer function that takes its place.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import Final, ParamSpec, TypeVar

from ..exceptions import MustardwardError
from .registry import Registry

P = ParamSpec("P")
R = TypeVar("R")

POLICIES: Final[Registry[str, str]] = Registry("policies")
"""What each policy is for, by its name."""

_OFF: Final[set[str]] = set()


class UnknownPolicyError(MustardwardError):
    """Report the name of a policy that nobody registered."""

    code = "unknown-policy"


def switchable(
    name: str, purpose: str, without: Callable[P, R]
) -> Callable[[Callable[P, R]], Callable[P, R]]:
    """File a policy, and call what stands in for it while it is switched off.

    :param purpose: what callers have of it, in one line.
    """
    POLICIES.register(name)(purpose)

    def decorate(policy: Callable[P, R]) -> Callable[P, R]:
        @functools.wraps(policy)
        def choose(*args: P.args, **kwargs: P.kwargs) -> R:
            if name in _OFF:
                return without(*args, **kwargs)
            return policy(*args, **kwargs)

        return choose

    return decorate


def switch_off(names: Iterable[str]) -> None:
    """Switch off just these policies, and all others on.

    :raises UnknownPolicyError: if there is no policy of a name; none is changed then.
    """
    wanted = set(names)
    for name in sorted(wanted):
        if name not in POLICIES:
            raise UnknownPolicyError(f"{name} is none of {', '.join(POLICIES)}")
    _OFF.clear()
    _OFF.update(wanted)


def switched_off() -> list[str]:
    """Return the policies that are off, in the order of their names."""
    return sorted(_OFF)
