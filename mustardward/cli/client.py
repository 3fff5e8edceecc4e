"""Call the operators' interface of an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])

_TIMEOUT_SECONDS = 10.0


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

        :raises click.ClickException: with the problem's code and text, or because the
            entry could not be reached.
        """
        import httpx

        headers = {"authorization": f"Bearer {self.token}"} if self.token else {}
        try:
            with httpx.Client(
                base_url=self.url,
                timeout=_TIMEOUT_SECONDS,
                verify=self._verification(),
            ) as client:
                answer = client.request(
                    method, path, params=query, json=body, headers=headers
                )
        except httpx.HTTPError as error:
            raise click.ClickException(f"unreachable {self.url}: {error}") from error
        if answer.is_error:
            raise click.ClickException(_problem_text(answer.status_code, answer.text))
        return answer.json()

    def _verification(self) -> Any:
        if not self.url.startswith("https"):
            return False
        import ssl

        return ssl.create_default_context(cafile=self.authority or None)


def _problem_text(status: int, text: str) -> str:
    import json

    try:
        problem = json.loads(text)
    except ValueError:
        return f"status={status}"
    code = str(problem.get("type", "")).rsplit("/", 1)[-1].rsplit(":", 1)[-1]
    return f"{code or status}: {problem.get('detail', '')}"


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
