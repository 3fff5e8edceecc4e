"""Call the operators' API of an entry."""

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
"""Longer than the longest wait that a request may ask for."""


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Send operator requests to one entry.

    :param url: base URL of the operators' API.
    :param token: bearer token, empty if the entry requires none.
    :param authority: CA certificate file to verify the entry's certificate.
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
        """Send a request and return the JSON body of the response.

        :raises RefusedError: with the problem's code and detail.
        :raises UnreachableError: if the request was not processed.
        :raises OutcomeUnknownError: if the request may have taken effect nevertheless.
        """
        import httpx

        headers = {"authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            with httpx.Client(
                base_url=self.url,
                timeout=_TIMEOUT_SECONDS,
                verify=self._build_tls_context(),
                trust_env=False,
            ) as client:
                response = client.request(
                    method, path, params=query, json=body, headers=headers
                )
        except httpx.HTTPError as error:
            raise self._build_transport_error(method, error) from error
        if response.is_error:
            raise _build_problem_error(response.status_code, response.text)
        return response.json()

    def _build_transport_error(
        self, method: str, error: Exception
    ) -> click.ClickException:
        import httpx

        text = f"{self.url}: {type(error).__name__} {error}"
        not_sent = isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout))
        if not_sent or method == "GET":
            return UnreachableError(f"unreachable {text}")
        return OutcomeUnknownError(f"no answer from {text}")

    def _build_tls_context(self) -> Any:
        if not self.url.startswith("https"):
            return False
        import ssl

        return ssl.create_default_context(cafile=self.authority or None)


def _build_problem_error(status: int, text: str) -> click.ClickException:
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
    """Add the shared options, and pass the client they define as ``client``."""

    @wraps(function)
    def run(
        *args: Any,
        server: str,
        token_file: Path | None,
        authority: str,
        **arguments: Any,
    ) -> Any:
        client = create_client(server, token_file, authority)
        return function(*args, client=client, **arguments)

    return operator_options(run)


def operator_options(function: FunctionT) -> FunctionT:
    """Add the options that all operator commands share.

    The command receives ``server``, ``token_file`` and ``authority``, the arguments of
    :func:`create_client`.
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


def create_client(
    server: str, token_file: Path | None, authority: str
) -> OperatorClient:
    """Return the client that the shared options define."""
    token = token_file.read_text(encoding="utf-8").strip() if token_file else ""
    return OperatorClient(server, token, authority)
