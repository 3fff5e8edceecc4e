"""Call the operators' interface of an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any, TypeVar

import click

from .exit_codes import OutcomeUnknownError, RefusedError, UnreachableError

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])

_TIMEOUT_SECONDS = 75.0
"""Longer than the longest wait that a call can ask for."""


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Reach one entry as an operator.

    :param url: base URL of the operators' interface.
    :param token: bearer token, empty if the entry asks for none.
    :param authority: file of the authority that signed the entry's certificate.
    """

    url: str
    token: str = ""
    authority: str = ""

    def call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: Any = None,
    ) -> Any:
        """Return the answer's JSON.

        :raises RefusedError: with the problem's code and text.
        :raises UnreachableError: if nobody could take the call.
        :raises OutcomeUnknownError: if the call may have had an effect all the same.
        """
        import httpx

        headers = {"authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            with httpx.Client(
                base_url=self.url,
                timeout=_TIMEOUT_SECONDS,
                verify=self._verification(),
                trust_env=False,
            ) as client:
                answer = client.request(
                    method, path, params=query, json=body, headers=headers
                )
        except httpx.HTTPError as error:
            raise self._unanswered(method, error) from error
        if answer.is_error:
            raise _problem(answer.status_code, answer.text)
        return answer.json()

    def _unanswered(self, method: str, error: Exception) -> click.ClickException:
        import httpx

        text = f"{self.url}: {type(error).__name__} {error}"
        never_sent = isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout))
        if never_sent or method == "GET":
            return UnreachableError(f"unreachable {text}")
        return OutcomeUnknownError(f"no answer from {text}")

    def _verification(self) -> Any:
        if not self.url.startswith("https"):
            return False
        import ssl

        return ssl.create_default_context(cafile=self.authority or None)


def _problem(status: int, text: str) -> click.ClickException:
    import json

    try:
        problem = json.loads(text)
    except ValueError:
        return RefusedError(f"status={status}")
    code = str(problem.get("type", "")).rsplit("/", 1)[-1].rsplit(":", 1)[-1]
    faults = [
        f"{item['key']}: {item['expected']}" for item in problem.get("faults", [])
    ]
    lines = [f"{code or status}: {problem.get('detail', '')}", *faults]
    message = "\n  ".join(lines)
    if problem.get("ran") == "unknown":
        return OutcomeUnknownError(message)
    return UnreachableError(message) if status == 503 else RefusedError(message)


def with_client(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the shared options; the command gets the client they describe."""

    @wraps(function)
    def run(
        *args: Any, server: str, token_file: Path | None, authority: str, **others: Any
    ) -> Any:
        client = make_client(server, token_file, authority)
        return function(*args, client=client, **others)

    return operator_options(run)


def operator_options(function: FunctionT) -> FunctionT:
    """Add the options that every operator's command shares.

    The command gets them as ``server``, ``token_file`` and ``authority``; pass them
    to :func:`make_client`.
    """
    for option in (
        click.option(
            "--server",
            envvar="MUSTARDWARD_SERVER",
            default="http://127.0.0.1:8081",
            show_default=True,
            help="URL of an entry's operators' interface.",
        ),
        click.option(
            "--token-file",
            envvar="MUSTARDWARD_TOKEN_FILE",
            type=click.Path(path_type=Path),
            help="File that holds the operator's token.",
        ),
        click.option(
            "--authority",
            envvar="MUSTARDWARD_AUTHORITY",
            default="",
            help="Certificate file of the authority, for https.",
        ),
    ):
        function = option(function)
    return function


def make_client(server: str, token_file: Path | None, authority: str) -> OperatorClient:
    """Return the client that the shared options describe."""
    token = token_file.read_text(encoding="utf-8").strip() if token_file else ""
    return OperatorClient(server, token, authority)
